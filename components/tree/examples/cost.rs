//! Measures what the tree costs at the sizes of two years from now: `cargo run --release -p tree --example cost`.

use std::hint::black_box;
use std::time::{Duration, Instant};

use tree::{Change, Edit, NodeKind, Tree, Window};
use units::{NodePath, Revision, SettingName};

const BRANCHES: usize = 20;
const MODELS: usize = 230;
const ADAPTERS: usize = 1_000;
const EDITS: u64 = 2_700;
const NAMES: usize = 1_000_000;

fn path(text: &str) -> NodePath {
    text.parse().expect("a path")
}

fn edit(revision: u64, changes: Vec<Change>) -> Edit {
    let id = format!("edit-{revision}").parse().expect("an id");
    Edit { id, author: "asma".to_owned(), base: Revision(revision - 1), changes }
}

fn setting(path: NodePath, name: &str, value: impl Into<serde_json::Value>) -> Change {
    let setting: SettingName = name.parse().expect("a setting");
    Change::Set { path, setting, value: value.into() }
}

fn model_path(model: usize) -> NodePath {
    path(&format!("/branch-{}/model-{model}", model % BRANCHES))
}

fn first() -> Edit {
    let mut changes = vec![setting(NodePath::root(), "service", "likhari")];
    for branch in 0..BRANCHES {
        let branch = path(&format!("/branch-{branch}"));
        changes.push(Change::Add { path: branch.clone(), kind: NodeKind::Branch });
        changes.push(setting(branch, "deadline", "20s"));
    }
    for model in 0..MODELS {
        let at = model_path(model);
        changes.push(Change::Add { path: at.clone(), kind: NodeKind::Model });
        changes.push(setting(at.clone(), "weights", "14GiB"));
        changes.push(setting(at, "replicas-most", 4));
    }
    for adapter in 0..ADAPTERS {
        let at = model_path(adapter % MODELS).child(&format!("adapter-{adapter}"));
        changes.push(Change::Add { path: at.expect("a path"), kind: NodeKind::Adapter });
    }
    edit(1, changes)
}

fn per(time: Duration, count: usize) -> Duration {
    time / u32::try_from(count).unwrap_or(u32::MAX)
}

/// The resident memory of this process in KiB, or 0 where the system does not say.
fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let words = line.and_then(|line| line.split_whitespace().next());
    words.and_then(|word| word.parse().ok()).unwrap_or_default()
}

fn main() {
    let before = resident();
    let mut tree = Tree::default();
    let first = first();
    let began = Instant::now();
    tree.apply(&first, Revision(1)).expect("a valid edit");
    println!("resident memory: {} KiB more", resident().saturating_sub(before));
    let text = serde_json::to_string(&tree).expect("JSON");
    println!("first edit: {} changes, {:?}", first.changes.len(), began.elapsed());
    println!(
        "tree: {} nodes, {} leaves, {} bytes as JSON",
        tree.nodes().len(),
        tree.leaves().len(),
        text.len()
    );

    let mut times = Vec::new();
    for revision in 2..2 + EDITS {
        let model = usize::try_from(revision).unwrap_or_default() * 7 % MODELS;
        let change = setting(model_path(model), "queue", revision);
        let edit = edit(revision, vec![change]);
        let began = Instant::now();
        tree.apply(&edit, Revision(revision)).expect("a valid edit");
        times.push(began.elapsed());
    }
    times.sort_unstable();
    let total: Duration = times.iter().sum();
    println!("a day's {EDITS} edits of one model: {total:?}, {:?} each", per(total, times.len()));
    println!("slowest: {:?}", times.last().copied().unwrap_or_default());
    let root = edit(3_000, vec![setting(NodePath::root(), "deadline", "25s")]);
    let began = Instant::now();
    tree.apply(&root, Revision(3_000)).expect("a valid edit");
    println!("an edit of the root, which all inherit: {:?}", began.elapsed());

    let names: Vec<String> = tree.leaves().iter().map(|leaf| leaf.name()).collect();
    let began = Instant::now();
    for name in names.iter().cycle().take(NAMES) {
        black_box(tree.resolve(black_box(name)).expect("a leaf"));
    }
    println!("resolve: {:?} each", per(began.elapsed(), NAMES));
    let began = Instant::now();
    for _ in 0..1_000 {
        black_box(tree.resolve(black_box("model-1l")).expect_err("no leaf"));
    }
    println!("resolve of a wrong name, with the nearest: {:?} each", per(began.elapsed(), 1_000));
    let window = Window {
        opens: "monthly last 08:00".to_owned(),
        lasts: "10h".parse().expect("a span"),
        zone: "Africa/Windhoek".to_owned(),
        replicas: 1,
    };
    let now = "2026-12-02T18:00:00Z".parse().expect("a timestamp");
    let began = Instant::now();
    for _ in 0..10_000 {
        black_box(window.next_opening(black_box(now)));
    }
    println!("next opening of a window: {:?} each", per(began.elapsed(), 10_000));
    let began = Instant::now();
    for _ in 0..10_000 {
        black_box(window.open_at(black_box(now)));
    }
    println!("whether a window is open: {:?} each", per(began.elapsed(), 10_000));
}
