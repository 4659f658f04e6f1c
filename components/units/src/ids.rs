//! Ids and names of instances, endpoints, callers, models, requests and settings.

use std::borrow::Borrow;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The longest allowed id, in bytes.
const MAX_ID_BYTES: usize = 200;

/// The error for a text that is not a valid id.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ParseIdError {
    /// The text is empty.
    #[error("an empty {kind}; write at least one character")]
    Empty {
        /// What the id should have named.
        kind: &'static str,
    },
    /// The text is longer than 200 bytes.
    #[error("a {kind} of {len} bytes; at most {MAX_ID_BYTES} are allowed")]
    Long {
        /// What the id should have named.
        kind: &'static str,
        /// The length of the text in bytes.
        len: usize,
    },
    /// The text contains a character that is not allowed in the id.
    #[error("`{found}` in the {kind} `{text}`; use letters, digits and {allowed}")]
    Character {
        /// What the id should have named.
        kind: &'static str,
        /// The text.
        text: String,
        /// The first character that is not allowed.
        found: char,
        /// The punctuation that is allowed.
        allowed: &'static str,
    },
}

fn check(kind: &'static str, text: &str, allowed: &'static str) -> Result<(), ParseIdError> {
    if text.is_empty() {
        return Err(ParseIdError::Empty { kind });
    }
    if text.len() > MAX_ID_BYTES {
        return Err(ParseIdError::Long { kind, len: text.len() });
    }
    let bad = text.chars().find(|&c| !c.is_alphanumeric() && !allowed.contains(c));
    match bad {
        None => Ok(()),
        Some(found) => Err(ParseIdError::Character { kind, text: text.to_owned(), found, allowed }),
    }
}

macro_rules! id {
    ($(#[$doc:meta])* $name:ident, $kind:literal, $allowed:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// The id as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, ParseIdError> {
                check($kind, text, $allowed)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = ParseIdError;

            fn try_from(text: String) -> Result<Self, ParseIdError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> String {
                id.as_str().to_owned()
            }
        }
    };
}

id!(
    /// An instance, as the platform's list of instances names it. Each entry process and each endpoint runs on an instance of
    /// its own.
    InstanceId, "instance id", "-_."
);
id!(
    /// An endpoint: the model engine or plain service of one instance.
    EndpointId, "endpoint id", "-_."
);
id!(
    /// A failure domain, such as `saddar`.
    Domain, "failure domain", "-_."
);
id!(
    /// A service of the platform that groups endpoints, such as `likhari`.
    ServiceName, "service name", "-_."
);
id!(
    /// The name that callers and engines use for a model, such as `page-text` or `page-text@v2`.
    ModelName, "model name", "-_.@:"
);
id!(
    /// An adapter of a model.
    AdapterName, "adapter name", "-_.@"
);
id!(
    /// A group of callers that gets a fair share of the capacity.
    CallerGroup, "caller group", "-_."
);
id!(
    /// A group of callers with keys and a limit of their own.
    WorkspaceName, "workspace name", "-_.@:"
);
id!(
    /// One request of one caller. Ids of requests are never reused.
    RequestId, "request id", "-_."
);
id!(
    /// One edit of the settings tree. Ids of edits are never reused.
    EditId, "edit id", "-_."
);
id!(
    /// The name of a setting in the settings tree.
    SettingName, "setting name", "-_."
);
id!(
    /// The digest of a caller's idempotency key, in hexadecimal.
    KeyHash, "key hash", ""
);
id!(
    /// The path of a node in the settings tree, such as `/karachi-south/likhari/page-text`; the root is `/`.
    NodePath, "node path", "/-_.@"
);

impl NodePath {
    /// The path of the root.
    pub fn root() -> Self {
        Self("/".into())
    }

    /// The path of a child of this node.
    pub fn child(&self, name: &str) -> Result<Self, ParseIdError> {
        let base = self.0.trim_end_matches('/');
        format!("{base}/{name}").parse()
    }

    /// The path of the parent node, or `None` at the root.
    pub fn parent(&self) -> Option<Self> {
        if self.as_str() == "/" {
            return None;
        }
        let cut = self.0.rfind('/')?;
        let text = if cut == 0 { "/" } else { &self.0[..cut] };
        Some(Self(text.into()))
    }

    /// The last part of the path; empty at the root.
    pub fn name(&self) -> &str {
        self.0.rsplit('/').next().unwrap_or_default()
    }
}

#[cfg(test)]
mod tests;
