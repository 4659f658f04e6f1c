//! How many replicas of a model are granted.

/// What is expected of a model.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Forecast {
    /// Requests a second.
    pub rate: f64,
    /// Refusals a second for lack of capacity.
    pub refused: f64,
    /// Replicas that an open or near closing window asks for.
    pub window: u32,
}

/// The operator's bounds and what one replica can do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// The fewest replicas.
    pub least: u32,
    /// The most replicas.
    pub most: u32,
    /// Requests that one replica runs at the same time.
    pub batch: u32,
    /// Replicas granted now.
    pub now: u32,
}

/// A number of replicas with its reason.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wanted {
    /// How many.
    pub replicas: u32,
    /// Why, in a few words.
    pub reason: String,
}

/// How many replicas a model is to have.
pub fn wanted(bounds: &Bounds, forecast: &Forecast) -> Wanted {
    let (replicas, reason) = if forecast.window > bounds.least {
        (forecast.window, "closing window")
    } else {
        (bounds.least, "least")
    };
    Wanted { replicas: replicas.min(bounds.most), reason: reason.to_owned() }
}
