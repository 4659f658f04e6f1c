//! The log and the processes, as a command sees them.

use std::sync::Arc;
use std::time::Duration;

use edge::{LogService, Stream};
use journal::{Journal, Options};
use record::{Body, Record};
use state::{Verdict, Void};
use timeline::Recorder;
use tokio::time::{Instant, timeout};
use tree::{Change, Edit, Tree};
use units::{EditId, InstanceId, Offset, Revision};

use crate::cli::Link;
use crate::error::CmdError;
use crate::fleet::Fleet;

/// The longest wait for one record of the log.
const READ_LIMIT: Duration = Duration::from_secs(2);

/// A command's view of the system.
pub(crate) struct Session {
    pub(crate) journal: Journal,
    pub(crate) fleet: Fleet,
    pub(crate) wait: Duration,
    author: String,
    service: Arc<dyn LogService>,
}

impl Session {
    /// Connects to the log service, or to a seed while it is down.
    pub(crate) async fn connect(link: &Link) -> Result<Self, CmdError> {
        let addr = link.log.ok_or(CmdError::NoLog)?;
        let service = Arc::new(edge::HttpLog::new(addr));
        Self::start(service, link, Options::default()).await
    }

    /// Starts following the log and waits until the tree in force is known.
    pub(crate) async fn start(
        service: Arc<dyn LogService>,
        link: &Link,
        options: Options,
    ) -> Result<Self, CmdError> {
        let instance: InstanceId = unique("hyssopctl", &link.author)?;
        let options = Options { seeds: link.seeds.clone(), ..options };
        let recorder = Recorder::new(instance.clone());
        let journal = journal::start(service.clone(), instance, recorder, options);
        let (wait, author) = (link.wait.0, link.author.clone());
        if timeout(wait, journal.ready()).await.is_err() {
            return Err(CmdError::NotReady { limit: wait });
        }
        Ok(Self { journal, fleet: Fleet::new(link.entries.clone()), wait, author, service })
    }

    /// The tree in force and its revision.
    pub(crate) fn tree(&self) -> (Tree, Revision) {
        self.journal.read(|state| (state.tree().clone(), state.revision()))
    }

    /// Who published a revision, if the log still has it.
    pub(crate) async fn author(&self, revision: Revision) -> Option<String> {
        let read = self.service.read(Stream::Control, Offset(revision.0), Duration::ZERO);
        let page = timeout(READ_LIMIT, read).await.ok()?.ok()?;
        let entry = page.entries.first().filter(|entry| entry.offset.0 == revision.0)?;
        let record: Record = serde_json::from_slice(&entry.data).ok()?;
        match record.body {
            Body::Edit(edit) => Some(edit.author),
            _ => None,
        }
    }

    /// A new edit with changes that are based on a revision.
    pub(crate) fn edit(&self, changes: Vec<Change>, base: Revision) -> Result<Edit, CmdError> {
        let id: EditId = unique("edit", &self.author)?;
        Ok(Edit { id, author: self.author.clone(), base, changes })
    }

    /// Errors if an edit can't be accepted: what conflicts with the tree in force now can't become valid,
    /// since revisions only grow.
    pub(crate) fn check(&self, edit: &Edit) -> Result<(), CmdError> {
        let (mut tree, _) = self.tree();
        tree.apply(edit, Revision(u64::MAX)).map_err(CmdError::Rejected)
    }

    /// Publishes changes that are based on a revision; returns the revision of the accepted edit.
    pub(crate) async fn publish(
        &self,
        changes: Vec<Change>,
        base: Revision,
    ) -> Result<Revision, CmdError> {
        let until = Instant::now() + self.wait;
        loop {
            let edit = self.edit(changes.clone(), base)?;
            match self.append(edit, until).await? {
                (Verdict::Done, offset) => return Ok(offset.into()),
                // It was so long on its way that it is void, and so certainly has no effect.
                (Verdict::Void(Void::Stale { .. }), _) if Instant::now() < until => {}
                (Verdict::Void(void), _) => return Err(rejected(void)),
            }
        }
    }

    async fn append(&self, edit: Edit, until: Instant) -> Result<(Verdict, Offset), CmdError> {
        self.check(&edit)?;
        let left = until.saturating_duration_since(Instant::now());
        let applied = self.journal.append(Body::Edit(edit), left).await;
        let applied = applied.map_err(|error| CmdError::Unknown { cause: error.to_string() })?;
        let offset = applied.offset;
        let verdict = applied.verdicts.into_iter().next();
        let verdict = verdict.expect("an edit has one verdict");
        Ok((verdict, offset))
    }
}

fn rejected(void: Void) -> CmdError {
    match void {
        Void::Edit(error) => CmdError::Rejected(error),
        // What became of the first copy is not said here.
        Void::Repeat { .. } => CmdError::Unknown { cause: void.to_string() },
        void => CmdError::Void(void),
    }
}

/// A new id with the author's name in it.
fn unique<T: std::str::FromStr>(kind: &str, author: &str) -> Result<T, CmdError>
where
    T::Err: std::fmt::Display,
{
    let text = format!("{kind}-{author}-{:016x}", rand::random::<u64>());
    let wrong = |error: T::Err| CmdError::Name(format!("the author's name can't be used: {error}"));
    text.parse().map_err(wrong)
}
