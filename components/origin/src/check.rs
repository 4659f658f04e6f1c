//! Whether the incarnation in the origin of a stream began it, as far as a router has found out.

use crate::{Attribution, Confirmation, Decision, Doubt, Evidence};

/// What is known of the incarnation that began a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OriginCheck {
    /// It is the one in the origin.
    Confirmed(Confirmation),
    /// It may be another one. The loader of the endpoint may know, but has not said so yet.
    Pending(Evidence),
    /// It may be another one, and nobody can tell any more.
    Doubtful(Evidence),
    /// Nothing speaks against the one in the origin.
    Unchecked,
}

/// What the loader of an endpoint says of the incarnation that began a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoaderAnswer {
    /// There is no loader to ask: none is known, or it does not run.
    NoLoader,
    /// It did not answer in time.
    Silent,
    /// This follows from the incarnations that it has seen.
    Attributed(Attribution),
}

impl OriginCheck {
    /// What is known by the loader's answer alone, if that is enough.
    pub fn by_loader(answer: LoaderAnswer) -> Option<Self> {
        match answer {
            LoaderAnswer::Attributed(Attribution::Confirmed) => {
                Some(Self::Confirmed(Confirmation::Loader))
            }
            LoaderAnswer::Attributed(Attribution::Doubtful) => {
                Some(Self::Doubtful(Evidence::LaterIncarnation))
            }
            LoaderAnswer::Attributed(Attribution::Undecided | Attribution::Unseen)
            | LoaderAnswer::Silent
            | LoaderAnswer::NoLoader => None,
        }
    }

    /// Adds an answer of the loader that is not enough to what the list and the endpoint say.
    #[must_use]
    pub fn beside(self, answer: LoaderAnswer) -> Self {
        match (answer, self) {
            (
                LoaderAnswer::Silent | LoaderAnswer::Attributed(Attribution::Undecided),
                Self::Doubtful(evidence),
            ) => Self::Pending(evidence),
            // The list and the endpoint need not know of a restart that the loader has seen.
            (LoaderAnswer::Attributed(Attribution::Undecided), Self::Unchecked) => {
                Self::Pending(Evidence::LaterIncarnation)
            }
            (_, check) => check,
        }
    }

    /// Where a stream goes on that would go on by this decision if its origin were right.
    pub fn restrict(self, decision: Decision) -> Decision {
        match (decision, self) {
            (Decision::At { .. } | Decision::Nowhere(Doubt::Unlisted), Self::Doubtful(_)) => {
                Decision::Nowhere(Doubt::Restarted)
            }
            (
                Decision::At { .. } | Decision::Nowhere(Doubt::Unlisted | Doubt::Restarted),
                Self::Pending(_),
            ) => Decision::Nowhere(Doubt::Unconfirmed),
            (decision, _) => decision,
        }
    }

    /// How the incarnation is known, if it is.
    pub fn confirmation(self) -> Option<Confirmation> {
        match self {
            Self::Confirmed(confirmation) => Some(confirmation),
            Self::Pending(_) | Self::Doubtful(_) | Self::Unchecked => None,
        }
    }

    /// What makes it doubtful, if it is.
    pub fn evidence(self) -> Option<Evidence> {
        match self {
            Self::Pending(evidence) | Self::Doubtful(evidence) => Some(evidence),
            Self::Confirmed(_) | Self::Unchecked => None,
        }
    }
}

#[cfg(test)]
mod tests;
