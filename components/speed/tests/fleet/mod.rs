//! A fleet of endpoints that send events, two routers that measure them, and the loaders that combine what they measure.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use speed::{
    EndpointSteps, ServiceSpeeds, SharedSteps, Step, StepRecorder, StreamClock, known_step,
};
use tokio::time::Instant;
use units::{EndpointId, ModelName};

/// Times between events of the models at an endpoint with factor 1.
const MODEL_STEPS: [Duration; 4] = [
    Duration::from_millis(15),
    Duration::from_millis(25),
    Duration::from_millis(40),
    Duration::from_millis(60),
];
/// The number of models, where all are used alike, and where most endpoints run a few of many.
const FEW_MODELS: usize = 8;
const MANY_MODELS: usize = 162;
/// Models at one endpoint.
const MODELS_PER_ENDPOINT: usize = 3;
/// Streams of each model at an endpoint.
const STREAMS: usize = 2;
/// The part of the time in which an endpoint is slowed down by noise.
const NOISE_SHARE: f64 = 0.15;
/// How long noise lasts.
const NOISE_SECONDS: f64 = 0.6;
/// How much longer an endpoint takes meanwhile.
const NOISE_FACTOR: f64 = 2.5;
/// The mean length of a stream, and of the pause before the next one.
const STREAM_SECONDS: f64 = 4.0;
const PAUSE_SECONDS: f64 = 1.0;
/// Part of the streams that pass through the first router if it sees few.
const FEW: f64 = 0.02;
/// Steps of the simulated time.
const TICK: Duration = Duration::from_millis(5);
/// How often factors are computed, and how often routers poll loaders.
const UPDATE_INTERVAL: Duration = Duration::from_millis(500);
const POLL_INTERVAL: Duration = Duration::from_millis(1_000);

/// Whether engine time varies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Noise {
    None,
    Usual,
}

/// Which models endpoints run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Models {
    /// A few models, each at several endpoints.
    Few,
    /// Many models, most of them at one endpoint or at none.
    Many,
}

impl Models {
    fn count(self) -> usize {
        match self {
            Self::Few => FEW_MODELS,
            Self::Many => MANY_MODELS,
        }
    }

    /// A model that an endpoint runs; of many, each is as frequent as its number is small.
    fn random(self, rng: &mut ChaCha8Rng) -> usize {
        match self {
            Self::Few => rng.random_range(0..FEW_MODELS),
            Self::Many => {
                let limit = rng.random_range(0..=MANY_MODELS.ilog2());
                rng.random_range((1_usize << limit) - 1..(2 << limit) - 1).min(MANY_MODELS - 1)
            }
        }
    }
}

/// Which streams pass through the first router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum View {
    All,
    Few,
}

#[derive(Debug)]
struct Stream {
    model: usize,
    router: usize,
    clock: StreamClock,
    /// The part of the next event that is done.
    progress: f64,
    /// When the stream, or the pause before it, ends.
    active: bool,
    until: Instant,
}

#[derive(Debug)]
pub(crate) struct Endpoint {
    id: EndpointId,
    pub(crate) factor: f64,
    noisy: bool,
    noise_changes: Instant,
    streams: Vec<Stream>,
    shared: SharedSteps,
}

#[derive(Debug, Default)]
pub(crate) struct Router {
    recorders: BTreeMap<(usize, usize), StepRecorder>,
    speeds: ServiceSpeeds,
    pub(crate) factors: Vec<Option<f64>>,
}

pub(crate) struct Fleet {
    rng: ChaCha8Rng,
    now: Instant,
    start: Instant,
    noise: Noise,
    view: View,
    /// Whether streams follow each other without a pause.
    pub(crate) always_busy: bool,
    /// Whether loaders are of a version that knows nothing of speeds.
    pub(crate) old_loaders: bool,
    models: Vec<ModelName>,
    pub(crate) endpoints: Vec<Endpoint>,
    pub(crate) routers: [Router; 2],
}

/// A time with this mean, exponentially distributed.
fn random_time(rng: &mut ChaCha8Rng, mean: f64) -> Duration {
    Duration::from_secs_f64(-mean * (1.0 - rng.random::<f64>()).ln())
}

impl Fleet {
    pub(crate) fn new(
        seed: u64,
        (endpoints, models): (usize, Models),
        factors: &[f64],
        noise: Noise,
        view: View,
    ) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let now = Instant::now();
        let endpoint = |index: usize| {
            let chosen = (0..MODELS_PER_ENDPOINT).map(|_| models.random(&mut rng));
            let streams = chosen.flat_map(|model| [model; STREAMS]);
            let stream = |model| Stream {
                model,
                router: 0,
                clock: StreamClock::default(),
                progress: 0.0,
                active: false,
                until: now,
            };
            Endpoint {
                id: format!("i-{index}").parse().expect("an id"),
                factor: factors[index % factors.len()],
                noisy: false,
                noise_changes: now,
                streams: streams.map(stream).collect(),
                shared: SharedSteps::default(),
            }
        };
        let endpoints = (0..endpoints).map(endpoint).collect();
        let name = |index| format!("m-{index}").parse().expect("a name");
        let models = (0..models.count()).map(name).collect();
        Self {
            rng,
            now,
            start: now,
            noise,
            view,
            always_busy: false,
            old_loaders: false,
            models,
            endpoints,
            routers: Default::default(),
        }
    }

    /// The factors of the endpoints relative to the median one.
    pub(crate) fn true_factors(&self) -> Vec<f64> {
        let mut sorted: Vec<f64> = self.endpoints.iter().map(|one| one.factor).collect();
        sorted.sort_by(f64::total_cmp);
        let median = sorted[sorted.len() / 2];
        self.endpoints.iter().map(|one| one.factor / median).collect()
    }

    pub(crate) fn uneven(&self, router: usize) -> bool {
        self.routers[router].speeds.uneven(self.now)
    }

    pub(crate) fn run(&mut self, length: Duration) {
        let end = self.now + length;
        while self.now < end {
            self.now += TICK;
            for index in 0..self.endpoints.len() {
                self.change_noise(index);
                self.run_streams(index);
            }
            let elapsed = (self.now - self.start).as_millis();
            if elapsed.is_multiple_of(POLL_INTERVAL.as_millis()) {
                self.poll();
            }
            if elapsed.is_multiple_of(UPDATE_INTERVAL.as_millis()) {
                (0..self.routers.len()).for_each(|router| self.update(router));
            }
        }
    }

    fn change_noise(&mut self, index: usize) {
        let endpoint = &mut self.endpoints[index];
        if self.noise == Noise::None || self.now < endpoint.noise_changes {
            return;
        }
        endpoint.noisy = !endpoint.noisy && self.now > self.start + TICK;
        let quiet = NOISE_SECONDS * (1.0 - NOISE_SHARE) / NOISE_SHARE;
        let length = if endpoint.noisy {
            Duration::from_secs_f64(NOISE_SECONDS)
        } else {
            random_time(&mut self.rng, quiet)
        };
        endpoint.noise_changes = self.now + length;
    }

    fn run_streams(&mut self, index: usize) {
        let endpoint = &mut self.endpoints[index];
        let noise = if endpoint.noisy { NOISE_FACTOR } else { 1.0 };
        for stream in &mut endpoint.streams {
            if self.now >= stream.until {
                stream.active = !stream.active || self.always_busy;
                let mean = if stream.active { STREAM_SECONDS } else { PAUSE_SECONDS };
                stream.until = self.now + random_time(&mut self.rng, mean);
                let through_first = match self.view {
                    View::All => 1.0,
                    View::Few => FEW,
                };
                stream.router = usize::from(!self.rng.random_bool(through_first));
                stream.clock = StreamClock::default();
                stream.progress = self.rng.random();
            }
            if !stream.active {
                continue;
            }
            let step = MODEL_STEPS[stream.model % MODEL_STEPS.len()];
            let time = step.mul_f64(endpoint.factor * noise);
            stream.progress += TICK.as_secs_f64() / time.as_secs_f64();
            if stream.progress < 1.0 {
                continue;
            }
            stream.progress -= 1.0;
            let at = self.now - time.mul_f64(stream.progress);
            let recorders = &mut self.routers[stream.router].recorders;
            let recorder =
                recorders.entry((index, stream.model)).or_insert_with(|| StepRecorder::new(at));
            if let Some(step) = stream.clock.record(1, at) {
                recorder.record(step, at);
            }
        }
    }

    /// Reports what routers have measured to the loaders, which publish it.
    fn poll(&mut self) {
        if self.old_loaders {
            for recorder in self.routers.iter_mut().flat_map(|one| one.recorders.values_mut()) {
                recorder.take(self.now);
            }
            return;
        }
        for router in &mut self.routers {
            for ((endpoint, model), recorder) in &mut router.recorders {
                if let Some(step) = recorder.take(self.now) {
                    self.endpoints[*endpoint].shared.add(&self.models[*model], step, self.now);
                }
            }
        }
        for endpoint in &mut self.endpoints {
            endpoint.shared.publish(2, self.now);
        }
    }

    fn update(&mut self, router: usize) {
        let Router { recorders, speeds, factors } = &mut self.routers[router];
        let now = self.now;
        let steps = |index: usize, endpoint: &Endpoint| {
            let known = |(model, name): (usize, _)| -> Option<(_, Step)> {
                let published = endpoint.shared.published().get(name).copied();
                let own = recorders.get(&(index, model));
                Some((name, known_step(own, published, now)?))
            };
            self.models.iter().enumerate().filter_map(known).collect()
        };
        let endpoints = self.endpoints.iter().enumerate().map(|(index, endpoint)| EndpointSteps {
            endpoint: &endpoint.id,
            incarnation: None,
            steps: steps(index, endpoint),
        });
        let endpoints: Vec<_> = endpoints.collect();
        *factors = speeds.update(&endpoints, now);
    }
}
