use std::path::{Path, PathBuf};

use super::{Experiment, Target};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn examples() -> Vec<(PathBuf, Experiment)> {
    let folder = std::fs::read_dir(root().join("examples/experiments")).expect("the examples");
    let files = folder.map(|entry| entry.expect("an entry").path());
    files
        .map(|file| {
            let experiment =
                process::load_settings(&file).unwrap_or_else(|error| panic!("{error}"));
            (file, experiment)
        })
        .collect()
}

#[test]
fn can_read_the_examples_and_find_their_models() {
    let examples = examples();
    assert!(examples.len() >= 5);
    for (file, experiment) in examples {
        let tree = root().join(experiment.deployment.tree());
        let tree = std::fs::read_to_string(tree).expect("the sample's tree");
        for load in experiment.loads {
            let Target::Models { names, .. } = load.target else { continue };
            for name in names {
                let known = tree.contains(&format!("\"{name}\": {{"));
                assert!(known, "{}: no model {name}", file.display());
            }
        }
    }
}

#[test]
fn errors_on_an_unknown_key() {
    let text = r#"{ "deployment": "press", "speed": 3 }"#;
    let read: Result<Experiment, _> = process::parse_settings(Path::new("test.jsonc"), text);
    assert!(read.expect_err("an unknown key").to_string().contains("speed"));
}
