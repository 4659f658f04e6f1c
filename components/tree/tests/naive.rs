//! Random racing edits against a naive model: plain maps of paths and settings with their revisions.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::path::Path;

use proptest::collection::vec;
use proptest::prelude::{Just, Strategy, prop_oneof};
use proptest::test_runner::{Config, RngSeed, TestRunner};
use serde_json::{Value, json};
use tree::{ApplyError, Change, Edit, NodeKind, Tree, diff, rewrite};
use units::{NodePath, Revision, SettingName};

const CASES: u32 = 400;
const SEED: u64 = 1;
/// After all edits of a case.
const LATE: u64 = 1_000;
/// What there is before the edits race.
const START: [(&str, NodeKind); 8] = [
    ("/a", NodeKind::Branch),
    ("/a/x", NodeKind::Branch),
    ("/a/x/y", NodeKind::Model),
    ("/a/x/y/urdu", NodeKind::Adapter),
    ("/a/z", NodeKind::Model),
    ("/a-x", NodeKind::Branch),
    ("/a-x/w", NodeKind::Service),
    ("/b", NodeKind::Branch),
];
const PATHS: [&str; 10] =
    ["/a", "/a/x", "/a/x/y", "/a/x/y/urdu", "/a/z", "/a-x", "/a-x/w", "/b", "/b/z", "/b/v"];
const SETTINGS: [&str; 3] = ["queue", "replicas-least", "replicas-most"];

#[derive(Debug, Clone, PartialEq)]
enum Verdict {
    Done,
    Conflict(String, String, u64),
    Invalid,
}

#[derive(Debug, Clone, Default)]
struct Naive {
    nodes: BTreeMap<String, (NodeKind, u64)>,
    settings: BTreeMap<(String, String), (Option<u64>, u64)>,
}

fn parent(path: &str) -> String {
    let cut = path.rfind('/').expect("a slash");
    if cut == 0 { "/".to_owned() } else { path[..cut].to_owned() }
}

fn conflict(path: &str, what: &str, winner: u64) -> Verdict {
    Verdict::Conflict(path.to_owned(), what.to_owned(), winner)
}

impl Naive {
    fn apply(&mut self, edit: &Edit, at: u64) -> Verdict {
        let mut copy = self.clone();
        for change in &edit.changes {
            if let Err(verdict) = copy.change(change, edit.base.0, at) {
                return verdict;
            }
        }
        if !copy.valid() {
            return Verdict::Invalid;
        }
        *self = copy;
        Verdict::Done
    }

    fn seen(&self, path: &str, base: u64, at: u64) -> Result<(), Verdict> {
        match self.nodes.get(path) {
            None => Err(Verdict::Invalid),
            Some((_, revision)) if *revision > base && *revision != at => {
                Err(conflict(path, "node", *revision))
            }
            Some(_) => Ok(()),
        }
    }

    fn change(&mut self, change: &Change, base: u64, at: u64) -> Result<(), Verdict> {
        let path = change.path().to_string();
        match change {
            Change::Add { kind, .. } => {
                if self.nodes.contains_key(&path) {
                    self.seen(&path, base, at)?;
                    return Err(Verdict::Invalid);
                }
                self.seen(&parent(&path), base, at)?;
                self.nodes.insert(path, (*kind, at));
            }
            Change::Remove { .. } => {
                self.seen(&path, base, at)?;
                let under = |other: &str| other == path || other.starts_with(&format!("{path}/"));
                let mut newest = BTreeMap::new();
                for (other, (_, revision)) in self.nodes.iter().filter(|(other, _)| under(other)) {
                    newest.insert(other.clone(), *revision);
                }
                for ((other, _), (_, revision)) in &self.settings {
                    if let Some(newest) = newest.get_mut(other) {
                        *newest = (*newest).max(*revision);
                    }
                }
                let lost = newest.iter().find(|(_, newest)| **newest > base && **newest != at);
                if let Some((other, newest)) = lost {
                    return Err(conflict(other, "node", *newest));
                }
                self.nodes.retain(|other, _| !under(other));
                self.settings.retain(|(other, _), _| !under(other));
            }
            Change::Set { setting, value, .. } => {
                self.touch(&path, setting.as_str(), base, at)?;
                let kind = self.nodes[&path].0;
                let fits = match kind {
                    NodeKind::Branch | NodeKind::Model => true,
                    NodeKind::Service => setting.as_str() == "queue",
                    NodeKind::Adapter | NodeKind::Version => false,
                };
                if !fits {
                    return Err(Verdict::Invalid);
                }
                let key = (path, setting.to_string());
                self.settings.insert(key, (value.as_u64(), at));
            }
            Change::Clear { setting, .. } => {
                self.touch(&path, setting.as_str(), base, at)?;
                let key = (path, setting.to_string());
                match self.settings.get_mut(&key) {
                    Some(slot) if slot.0.is_some() => *slot = (None, at),
                    _ => return Err(Verdict::Invalid),
                }
            }
        }
        Ok(())
    }

    fn touch(&self, path: &str, setting: &str, base: u64, at: u64) -> Result<(), Verdict> {
        self.seen(path, base, at)?;
        match self.settings.get(&(path.to_owned(), setting.to_owned())) {
            Some((_, revision)) if *revision > base && *revision != at => {
                Err(conflict(path, setting, *revision))
            }
            _ => Ok(()),
        }
    }

    fn effective(&self, path: &str, setting: &str, default: u64) -> u64 {
        let mut path = path.to_owned();
        loop {
            let own = self.settings.get(&(path.clone(), setting.to_owned()));
            if let Some((Some(value), _)) = own {
                return *value;
            }
            if path == "/" {
                return default;
            }
            path = parent(&path);
        }
    }

    fn valid(&self) -> bool {
        let mut names = Vec::new();
        for (path, (kind, _)) in &self.nodes {
            let above = (path != "/").then(|| self.nodes[&parent(path)].0);
            let placed = match kind {
                NodeKind::Adapter | NodeKind::Version => above == Some(NodeKind::Model),
                _ => above.is_none_or(|above| above == NodeKind::Branch),
            };
            let bounds =
                ["replicas-least", "replicas-most"].map(|name| self.effective(path, name, 1));
            let loaded = matches!(kind, NodeKind::Branch | NodeKind::Model);
            if !placed || loaded && bounds[0] > bounds[1] {
                return false;
            }
            if matches!(kind, NodeKind::Model | NodeKind::Service) {
                names.push((*kind, path.rsplit('/').next()));
            }
        }
        let count = names.len();
        names.sort_unstable();
        names.dedup();
        names.len() == count
    }
}

/// All that the two must agree on: nodes, settings, what is in force, and the leaves.
fn compare(tree: &Tree, naive: &Naive) {
    let nodes =
        tree.nodes().iter().map(|(path, node)| (path.to_string(), (node.kind, node.revision.0)));
    assert_eq!(nodes.collect::<BTreeMap<_, _>>(), naive.nodes);
    let mut settings = BTreeMap::new();
    for (path, node) in tree.nodes() {
        for (name, value) in &node.settings {
            let value = (value.value.as_u64(), value.revision.0);
            settings.insert((path.to_string(), name.to_string()), value);
        }
        for (name, revision) in &node.cleared {
            settings.insert((path.to_string(), name.to_string()), (None, revision.0));
        }
    }
    // The root's service is set once and never changes.
    settings.remove(&("/".to_owned(), "service".to_owned()));
    assert_eq!(settings, naive.settings);
    for path in tree.nodes().keys() {
        let queue = naive.effective(path.as_str(), "queue", 64);
        assert_eq!(u64::from(tree.effective(path).queue), queue, "{path}");
    }
    let models = naive.nodes.iter().filter(|(_, (kind, _))| *kind == NodeKind::Model);
    for (path, _) in models {
        let leaf = tree.resolve(path.rsplit('/').next().expect("a name")).expect("a leaf");
        assert_eq!(leaf.path.as_str(), path);
        assert_eq!(u64::from(leaf.settings.queue), naive.effective(path, "queue", 64));
    }
}

/// What is kept up to date edit by edit is what is worked out anew from the nodes.
fn compare_anew(tree: &Tree) {
    let text = serde_json::to_string(tree).expect("JSON");
    let anew: Tree = serde_json::from_str(&text).expect("a valid tree");
    assert_eq!(anew.leaves(), tree.leaves());
    for path in tree.nodes().keys() {
        assert_eq!(anew.effective(path), tree.effective(path), "{path}");
    }
}

/// The difference between two trees makes the one from the other, as an edit and in a file's text.
fn compare_diff(before: &Tree, after: &Tree) {
    let changes = diff(before, after);
    if changes.is_empty() {
        return;
    }
    let text = rewrite(&before.render(None), &changes).expect("a place for each change");
    let file = tree::parse(Path::new("tree.jsonc"), &text).expect("a valid file");
    assert_eq!(diff(&file.tree, after), [], "{text}");
    let mut made = before.clone();
    made.apply(&edit(LATE, changes), Revision(LATE + 1)).expect("a valid edit");
    assert_eq!(diff(&made, after), []);
}

fn verdict(result: Result<(), ApplyError>) -> Verdict {
    match result {
        Ok(()) => Verdict::Done,
        Err(ApplyError::Invalid { .. }) => Verdict::Invalid,
        Err(ApplyError::Conflict { path, what, winner, .. }) => {
            conflict(path.as_str(), &what, winner.0)
        }
    }
}

fn path() -> impl Strategy<Value = NodePath> {
    (0..PATHS.len()).prop_map(|at| PATHS[at].parse().expect("a path"))
}

fn change() -> impl Strategy<Value = Change> {
    let kind = prop_oneof![
        3 => Just(NodeKind::Branch),
        2 => Just(NodeKind::Model),
        1 => Just(NodeKind::Adapter),
        1 => Just(NodeKind::Service),
    ];
    let setting =
        (0..SETTINGS.len()).prop_map(|at| SETTINGS[at].parse::<SettingName>().expect("a setting"));
    let setting = setting.boxed();
    prop_oneof![
        2 => (path(), kind).prop_map(|(path, kind)| Change::Add { path, kind }),
        1 => path().prop_map(|path| Change::Remove { path }),
        9 => (path(), setting.clone(), 0..3u64).prop_map(|(path, setting, value)| {
            let value = json!(if setting.as_str() == "replicas-most" { value + 1 } else { value });
            Change::Set { path, setting, value }
        }),
        2 => (path(), setting).prop_map(|(path, setting)| Change::Clear { path, setting }),
    ]
}

/// Edits whose authors are up to three accepted edits behind.
fn edits() -> impl Strategy<Value = Vec<(u64, Vec<Change>)>> {
    vec((0..4u64, vec(change(), 1..4)), 1..60)
}

fn edit(base: u64, changes: Vec<Change>) -> Edit {
    let id = "edit".parse().expect("an id");
    Edit { id, author: "asma".to_owned(), base: Revision(base), changes }
}

/// The same cases each time; `PROPTEST_CASES` and `PROPTEST_RNG_SEED` ask for more or other ones.
fn config() -> Config {
    let asked = Config::default();
    let rng_seed = match asked.rng_seed {
        RngSeed::Random => RngSeed::Fixed(SEED),
        fixed @ RngSeed::Fixed(_) => fixed,
    };
    Config { cases: asked.cases.max(CASES), rng_seed, failure_persistence: None, ..asked }
}

#[test]
fn can_agree_with_a_naive_model_on_racing_edits() {
    let counts = [const { Cell::new(0_u32) }; 3];
    TestRunner::new(config())
        .run(&edits(), |edits| {
            let (mut tree, mut naive) = (Tree::default(), Naive::default());
            naive.nodes.insert("/".to_owned(), (NodeKind::Branch, 0));
            let value = Value::from("likhari");
            let setting = "service".parse().expect("a setting");
            let mut first = vec![Change::Set { path: NodePath::root(), setting, value }];
            for (path, kind) in START {
                first.push(Change::Add { path: path.parse().expect("a path"), kind });
                naive.nodes.insert(path.to_owned(), (kind, 1));
            }
            tree.apply(&edit(0, first), Revision(1)).expect("a valid edit");
            for (at, (behind, changes)) in (2_u64..).zip(edits) {
                let edit = edit((at - 1).saturating_sub(behind), changes);
                let expected = naive.apply(&edit, at);
                let before = tree.clone();
                let found = verdict(tree.apply(&edit, Revision(at)));
                assert_eq!(found, expected, "{edit:?}");
                match found {
                    Verdict::Done => {
                        compare_anew(&tree);
                        compare_diff(&before, &tree);
                        counts[0].update(|n| n + 1);
                    }
                    Verdict::Conflict(..) => counts[1].update(|n| n + 1),
                    Verdict::Invalid => counts[2].update(|n| n + 1),
                }
                assert!(found == Verdict::Done || tree == before);
                compare(&tree, &naive);
                let back = before.overlay(&diff(&before, &tree)).expect("a valid tree");
                assert_eq!(diff(&back, &tree), []);
            }
            Ok(())
        })
        .unwrap_or_else(|error| panic!("{error}"));
    // Each kind of verdict must have come up often, or the test proves little.
    assert!(counts.iter().all(|count| count.get() > 500), "{counts:?}");
}
