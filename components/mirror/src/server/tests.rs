//! Tests of what a mirror reads and answers.

use units::Era;

use super::*;

/// A store with a topic of which it returns two records at once and keeps those from `first` on.
#[derive(Debug, Clone)]
struct Reader {
    first: u64,
    end: u64,
}

impl TopicReader for Reader {
    type Error = &'static str;

    async fn read_topic(
        &self,
        _: Topic,
        from: StorePosition,
        wait: Duration,
    ) -> Result<TopicRead, &'static str> {
        let from = from.offset.0;
        if from < self.first {
            return Ok(TopicRead::Lost);
        }
        if from >= self.end {
            tokio::time::sleep(wait).await;
        }
        let records: Vec<Bytes> =
            (from..self.end).take(2).map(|number| number.to_string().into()).collect();
        let has_more = from + 2 < self.end;
        // A part of the topic is read slowly, and nothing may be confirmed meanwhile.
        tokio::time::sleep(Duration::from_millis(100)).await;
        Ok(TopicRead::Records { records, has_more })
    }
}

async fn answer(mirror: &Mirror<Reader>, topic: Topic, from: u64) -> Option<Updates> {
    let from = StorePosition { era: Era(0), offset: Offset(from) };
    let (wait, interval) = (Duration::from_secs(1), Duration::from_secs(1));
    mirror.answer(UpdatesRequest { topic, from, wait, interval }).await
}

fn numbers(updates: Option<Updates>) -> Vec<String> {
    let records = updates.map(|updates| updates.records).unwrap_or_default();
    records.iter().map(|record| String::from_utf8_lossy(record).into_owned()).collect()
}

#[tokio::test(start_paused = true)]
async fn nothing_is_confirmed_before_the_topic_has_been_read_to_its_end() {
    let mirror = Mirror::new(Reader { first: 0, end: 6 });
    assert_eq!(numbers(answer(&mirror, Topic::Config, 0).await), ["0", "1", "2", "3", "4", "5"]);
}

#[tokio::test(start_paused = true)]
async fn a_follower_that_is_somewhat_behind_the_first_one_finds_its_records() {
    let mirror = Mirror::new(Reader { first: 0, end: 6 });
    assert_eq!(numbers(answer(&mirror, Topic::Endpoints, 5).await), ["5"]);
    assert_eq!(numbers(answer(&mirror, Topic::Endpoints, 3).await), ["3", "4", "5"]);
}

#[tokio::test(start_paused = true)]
async fn records_that_the_store_does_not_keep_any_more_are_not_mirrored() {
    let mirror = Mirror::new(Reader { first: 4, end: 6 });
    assert_eq!(numbers(answer(&mirror, Topic::Endpoints, 5).await), ["5"]);
    assert_eq!(answer(&mirror, Topic::Endpoints, 3).await, None);
    assert_eq!(answer(&mirror, Topic::Config, 3).await, None);
}

#[tokio::test(start_paused = true)]
async fn a_topic_that_nobody_asks_for_is_not_read() {
    let mirror = Mirror::new(Reader { first: 0, end: 6 });
    answer(&mirror, Topic::Config, 6).await;
    tokio::time::sleep(IDLE_TIME * 2).await;
    assert!(mirror.topics().is_empty());
}
