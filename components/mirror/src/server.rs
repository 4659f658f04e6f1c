//! Mirrors topics of the store as long as followers ask for them.

use std::collections::BTreeMap;
use std::fmt::{Debug, Display};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use clock::Moment;
use events::{Dependency, Event, emit, millis};
use tokio::sync::watch;
use units::{Offset, StorePosition};

use crate::{Tail, Topic, Updates, UpdatesRequest};

/// Pause between reads of a topic: changes within it are read together, since each call to the store is paid for.
const READ_PAUSE: Duration = Duration::from_millis(200);
/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// A topic that no follower has asked for during this time is not mirrored any more.
const IDLE_TIME: Duration = Duration::from_secs(10);
/// The shortest interval of reads that followers may ask for.
const MIN_INTERVAL: Duration = Duration::from_millis(250);
/// The longest that a follower is kept waiting for an answer.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// How many records before the position of the first follower a mirror reads, so that the others, which may be somewhat behind, find
/// theirs: the list changes many times a second while a deployment starts. A configuration is long and changes seldom.
fn lookback(topic: Topic) -> u64 {
    match topic {
        Topic::Config => 0,
        Topic::Endpoints | Topic::CrashRecords | Topic::Routers | Topic::Streams => 1_000,
    }
}

/// The outcome of a read of a topic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TopicRead {
    /// The records from the position on, none if nothing was written in time.
    Records {
        /// The records.
        records: Vec<Bytes>,
        /// Whether more records can be read at once.
        has_more: bool,
    },
    /// The store no longer keeps the records, or it was restored from an older copy, so that no records continue the position.
    Lost,
}

/// Reads topics of the store.
pub trait TopicReader: Debug + Clone + Send + Sync + 'static {
    /// Why a read failed.
    type Error: Display + Send;

    /// Reads the records from a position on, and waits up to `wait` for the first one.
    fn read_topic(
        &self,
        topic: Topic,
        from: StorePosition,
        wait: Duration,
    ) -> impl Future<Output = Result<TopicRead, Self::Error>> + Send;
}

/// What a mirror knows of one topic.
#[derive(Debug)]
struct TopicState {
    tail: Tail,
    /// When the last answered read of the store was sent.
    confirmed: Option<Moment>,
    /// When the store answered again after it had not.
    regained: Option<Moment>,
}

/// One mirrored topic. The task that reads the store ends it when it is no longer asked for.
#[derive(Debug)]
struct MirroredTopic {
    state: watch::Sender<TopicState>,
    /// When a follower last asked for the topic, and the shortest interval of reads that any has asked for.
    asked: Mutex<(Moment, Duration)>,
}

impl MirroredTopic {
    fn asked(&self) -> MutexGuard<'_, (Moment, Duration)> {
        self.asked.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

type Topics = BTreeMap<Topic, Arc<MirroredTopic>>;

/// Mirrors topics of the store; cheap to clone.
#[derive(Debug, Clone)]
pub struct Mirror<R> {
    reader: R,
    topics: Arc<Mutex<Topics>>,
}

impl<R: TopicReader> Mirror<R> {
    /// Creates a mirror that reads nothing until it is asked.
    pub fn new(reader: R) -> Self {
        Self { reader, topics: Arc::default() }
    }

    /// Answers a follower, as soon as there are records for it; `None` if the mirror does not have the records that it needs.
    pub async fn answer(&self, request: UpdatesRequest) -> Option<Updates> {
        let UpdatesRequest { topic, from, wait, interval } = request;
        let mut state = self.mirrored(topic, from, interval).state.subscribe();
        let news = state.wait_for(|state| state.confirmed.is_some() && state.tail.has_news(from));
        // At the timeout the answer confirms that there are no records. An error means that the topic is mirrored no longer.
        if let Ok(Err(_)) = tokio::time::timeout(wait.min(MAX_WAIT), news).await {
            return None;
        }
        let state = state.borrow();
        Some(Updates {
            records: state.tail.since(from)?,
            age: state.confirmed?.elapsed(),
            regained: state.regained.map(Moment::elapsed),
        })
    }

    /// The mirrored topic. Starts to read it from a position if it is not mirrored yet, or only in an earlier era of the store.
    fn mirrored(
        &self,
        topic: Topic,
        from: StorePosition,
        interval: Duration,
    ) -> Arc<MirroredTopic> {
        let (now, interval) = (Moment::now(), interval.max(MIN_INTERVAL));
        let mut topics = self.topics();
        if let Some(mirrored) = topics.get(&topic)
            && mirrored.state.borrow().tail.end().era >= from.era
        {
            let mut asked = mirrored.asked();
            *asked = (now, asked.1.min(interval));
            drop(asked);
            return mirrored.clone();
        }
        let start =
            StorePosition { offset: Offset(from.offset.0.saturating_sub(lookback(topic))), ..from };
        let state = TopicState { tail: Tail::new(start), confirmed: None, regained: None };
        let mirrored = Arc::new(MirroredTopic {
            state: watch::Sender::new(state),
            asked: Mutex::new((now, interval)),
        });
        topics.insert(topic, mirrored.clone());
        tokio::spawn(self.clone().follow(topic, from, mirrored.clone()));
        mirrored
    }

    fn topics(&self) -> MutexGuard<'_, Topics> {
        self.topics.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads a topic until no follower asks for it, or its records don't continue. The first follower asked for the records from
    /// `asked_from` on.
    async fn follow(self, topic: Topic, asked_from: StorePosition, mirrored: Arc<MirroredTopic>) {
        let (mut failed_since, mut regained) = (None, None);
        loop {
            let (asked_at, interval) = *mirrored.asked();
            if asked_at.elapsed() > IDLE_TIME {
                break;
            }
            // A store that does not answer is not asked to wait, so that its return is noticed.
            let wait = if failed_since.is_some() {
                Duration::ZERO
            } else {
                interval.saturating_sub(READ_PAUSE)
            };
            let (from, sent) = (mirrored.state.borrow().tail.end(), Moment::now());
            match self.reader.read_topic(topic, from, wait).await {
                Ok(TopicRead::Records { records, has_more }) => {
                    if let Some(since) = failed_since.take() {
                        log_regained(topic, since);
                        regained = Some(Moment::now());
                    }
                    mirrored.state.send_if_modified(|state| {
                        let news = !records.is_empty();
                        state.tail.append(records);
                        state.regained = regained;
                        if !has_more {
                            state.confirmed = Some(sent);
                        }
                        news
                    });
                    if !has_more {
                        tokio::time::sleep(READ_PAUSE).await;
                    }
                }
                Ok(TopicRead::Lost) if from < asked_from => {
                    // The records before those that were asked for are not kept.
                    mirrored.state.send_modify(|state| state.tail = Tail::new(asked_from));
                }
                Ok(TopicRead::Lost) => break,
                Err(error) => {
                    if failed_since.is_none() {
                        log_lost(topic, &error);
                        failed_since = Some(sent);
                    }
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
        let mut topics = self.topics();
        if topics.get(&topic).is_some_and(|other| Arc::ptr_eq(other, &mirrored)) {
            topics.remove(&topic);
        }
    }
}

fn log_lost(topic: Topic, error: &impl Display) {
    let (dependency, cause) = (Dependency::MirroredTopic, error.to_string());
    emit(&Event::DependencyLost { dependency, name: topic.name(), cause: &cause });
}

fn log_regained(topic: Topic, since: Moment) {
    let (dependency, after_ms) = (Dependency::MirroredTopic, millis(since.elapsed()));
    emit(&Event::DependencyRegained { dependency, name: topic.name(), after_ms });
}

#[cfg(test)]
mod tests;
