//! Experiment files: a deployment, load by shape and class, faults by time.

use serde::Deserialize;
use serde_json::{Map, Value};
use tree::Class;
use units::{Rate, Span};

use crate::site::{Sample, Scale};

/// An experiment.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(crate) struct Experiment {
    /// The sample deployment.
    pub(crate) deployment: Sample,
    /// How large it is.
    pub(crate) scale: Scale,
    /// Settings of the engines' stand-ins that are not the usual ones.
    #[serde(default)]
    pub(crate) engine: Map<String, Value>,
    /// What all arrivals are drawn from.
    pub(crate) seed: u64,
    /// How long load arrives.
    pub(crate) lasts: Span,
    /// The load.
    pub(crate) loads: Vec<Load>,
    /// The faults.
    #[serde(default)]
    pub(crate) faults: Vec<TimedFault>,
}

/// One stream of requests.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(crate) struct Load {
    /// Its name in reports.
    pub(crate) name: String,
    /// When it begins.
    #[serde(default)]
    pub(crate) from: Span,
    /// When it ends; at the experiment's end if not said.
    #[serde(default)]
    pub(crate) to: Option<Span>,
    /// How its requests arrive.
    pub(crate) shape: Shape,
    /// Its class.
    pub(crate) class: Class,
    /// The deadline of each request.
    pub(crate) deadline: Span,
    /// What is asked for.
    pub(crate) target: Target,
}

/// What requests ask for.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(crate) enum Target {
    /// Completions of some models.
    Models {
        /// The models; the first are asked for most.
        names: Vec<String>,
        /// How much more: 0 asks for all alike, 1 is Zipf's law.
        #[serde(default)]
        skew: f64,
        /// How many tokens each asks for.
        tokens: u32,
    },
    /// Calls of the plain service that may not be repeated.
    Unrepeatable,
}

/// How requests arrive.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(crate) enum Shape {
    /// At one rate.
    Steady {
        /// The rate.
        rate: Rate,
    },
    /// Slowly more, then steeply up to the end, as treasurers wait for the last day.
    MonthEnd {
        /// The rate at the beginning.
        base: Rate,
        /// The rate at the end.
        peak: Rate,
    },
    /// Evenly up to the close, then back at once.
    TermClose {
        /// The rate at the beginning and after the close.
        base: Rate,
        /// The rate at the close.
        peak: Rate,
        /// The close, from the load's beginning.
        closes: Span,
    },
    /// Many requests at once, each wave to the next model.
    WakeBurst {
        /// The requests of a wave.
        count: u32,
        /// How long a wave takes.
        spread: Span,
        /// The pause from wave to wave.
        every: Span,
    },
    /// Ever fewer.
    IdleTail {
        /// The rate at the beginning.
        rate: Rate,
        /// How long the rate takes to halve.
        half: Span,
    },
}

/// A fault and its time.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(crate) struct TimedFault {
    /// When.
    pub(crate) at: Span,
    /// The stand-in or process, by name.
    pub(crate) name: String,
    /// What.
    #[serde(rename = "do")]
    pub(crate) action: Action,
}

/// What happens to a stand-in or process.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(crate) enum Action {
    /// Posts a fault to a stand-in.
    Fault(Value),
    /// Kills a process with no notice.
    Kill,
    /// Pauses a process.
    Pause,
    /// Lets a paused process go on.
    Continue,
    /// Stops a process gracefully.
    Terminate,
    /// Starts a process that has ended.
    Start,
}

#[cfg(test)]
mod tests;
