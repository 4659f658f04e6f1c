//! The log and the processes, as a command sees them.

use std::sync::Arc;
use std::time::Duration;

use journal::{Journal, Options};
use platform::{LogService, Stream};
use record::{Body, Record};
use state::{Applied, Verdict, Void};
use timeline::Recorder;
use tokio::time::timeout;
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
        let service = Arc::new(platform::HttpLog::new(addr));
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

    /// Publishes changes that are based on a revision; returns the revision of the accepted edit.
    pub(crate) async fn publish(
        &self,
        changes: Vec<Change>,
        base: Revision,
    ) -> Result<Revision, CmdError> {
        let id: EditId = unique("edit", &self.author)?;
        let edit = Edit { id, author: self.author.clone(), base, changes };
        let (mut tree, _) = self.tree();
        // What conflicts with the tree in force now can't become valid: revisions only grow.
        tree.apply(&edit, Revision(u64::MAX)).map_err(CmdError::Rejected)?;
        let applied = self.journal.append(Body::Edit(edit), self.wait).await;
        verdict(applied.map_err(|cause| CmdError::Unknown { cause })?)
    }
}

fn verdict(applied: Applied) -> Result<Revision, CmdError> {
    match applied.verdicts.into_iter().next() {
        Some(Verdict::Done) | None => Ok(applied.offset.into()),
        Some(Verdict::Void(Void::Repeat { first })) => Ok(first.into()),
        Some(Verdict::Void(Void::Edit(error))) => Err(CmdError::Rejected(error)),
        Some(Verdict::Void(void)) => Err(CmdError::Void(void)),
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
