use super::{MOST, Names};
use units::ModelName;

fn name(text: &str) -> ModelName {
    text.parse().expect("a name")
}

#[test]
fn can_keep_equal_names_once() {
    let mut names = Names::default();
    let (mut first, mut second) = (name("page@v1"), name("page@v1"));
    assert_ne!(first.as_str().as_ptr(), second.as_str().as_ptr());
    names.share(&mut first);
    names.share(&mut second);
    assert_eq!(first.as_str().as_ptr(), second.as_str().as_ptr());
}

#[test]
fn can_forget_names_of_the_past() {
    let mut names = Names::default();
    for number in 0..=MOST {
        names.share(&mut name(&format!("model-{number}")));
    }
    assert_eq!(names.0.len(), 1);
}
