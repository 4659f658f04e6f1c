//! Requests that must be refused, each for a reason of its own.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tree::Class;
use units::Span;

use crate::answer::Expected;
use crate::caller::{Ask, Caller, Door};
use crate::clock::Clock;
use crate::evidence::{Call, Ending};

/// More than an entry's largest body.
const LONG_BODY: usize = 2 << 20;
const RAW_LIMIT: Duration = Duration::from_secs(5);

/// A request that must be refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Probe {
    /// For a model that is nearly one of the tree.
    UnknownModel,
    /// With a body that is too long.
    LongBody,
    /// With a deadline that has passed.
    PastDeadline,
    /// With a body that is no JSON.
    BadJson,
    /// That is no HTTP.
    BadHttp,
}

/// What became of a probe.
#[derive(Debug, Clone)]
pub(crate) struct Probed {
    pub(crate) probe: Probe,
    /// The status of the answer; 0 if none came.
    pub(crate) status: u16,
    /// Whether it was refused as it must be.
    pub(crate) right: bool,
    /// The start of the answer.
    pub(crate) text: String,
    /// The call, where the probe is one.
    pub(crate) call: Option<Call>,
}

impl fmt::Display for Probe {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::UnknownModel => "unknown model",
            Self::LongBody => "over-long body",
            Self::PastDeadline => "deadline past",
            Self::BadJson => "body is no JSON",
            Self::BadHttp => "no HTTP at all",
        })
    }
}

impl Probe {
    pub(crate) const ALL: [Self; 5] =
        [Self::UnknownModel, Self::LongBody, Self::PastDeadline, Self::BadJson, Self::BadHttp];

    /// The status that it must get.
    pub(crate) fn status(self) -> u16 {
        match self {
            Self::UnknownModel => 404,
            Self::LongBody => 413,
            Self::PastDeadline => 408,
            Self::BadJson | Self::BadHttp => 400,
        }
    }

    /// Sends it.
    pub(crate) async fn send(
        self,
        caller: &Caller,
        clock: Clock,
        door: &Door,
        model: &str,
    ) -> Probed {
        if self == Self::BadHttp {
            let text = raw(door.addr).await;
            let status = text.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
            let right = status == self.status();
            let text = text.lines().next().unwrap_or_default().to_owned();
            return Probed { probe: self, status, right, text, call: None };
        }
        let ask = self.ask(model);
        let call = caller.send(std::slice::from_ref(door), &ask, clock.now()).await;
        let hint = self != Self::UnknownModel || call.text.contains(&format!("`{model}`"));
        let right = call.status == self.status() && call.ending == Ending::NotRun && hint;
        Probed {
            probe: self,
            status: call.status,
            right,
            text: call.text.clone(),
            call: Some(call),
        }
    }

    fn ask(self, model: &str) -> Ask {
        let mut ask = completion(model, "probe", 4);
        ask.expected = Expected::Refusal;
        match self {
            Self::UnknownModel => ask = completion(&format!("{model}x"), "probe", 4),
            Self::LongBody => ask = completion(model, &"long ".repeat(LONG_BODY / 5), 4),
            Self::PastDeadline => ask.deadline = Span::secs(0),
            Self::BadJson | Self::BadHttp => ask.body = "{\"model\": ".into(),
        }
        ask
    }
}

/// A streamed completion.
pub(crate) fn completion(model: &str, prompt: &str, tokens: u32) -> Ask {
    let path = "/v1/completions";
    let body = serde_json::json!({
        "model": model,
        "prompt": prompt,
        "max_tokens": tokens,
        "stream": true,
    });
    let body = body.to_string();
    let expected = standin::expected(path, body.as_bytes()).unwrap_or_default();
    Ask {
        method: Method::POST,
        path: path.to_owned(),
        body: body.into(),
        target: model.to_owned(),
        class: Class::Interactive,
        deadline: Span::secs(25),
        key: None,
        expected: Expected::Bytes(expected.into()),
    }
}

/// A call of a plain service that may not be repeated.
pub(crate) fn unrepeatable(service: &str, path: &str, key: &str, body: &str) -> Ask {
    Ask {
        method: Method::POST,
        path: format!("/services/{service}{path}"),
        body: body.to_owned().into(),
        target: service.to_owned(),
        class: Class::Interactive,
        deadline: Span::secs(10),
        key: Some(key.to_owned()),
        expected: Expected::Echo {
            method: "POST".to_owned(),
            path: path.to_owned(),
            body: body.to_owned(),
        },
    }
}

async fn raw(addr: SocketAddr) -> String {
    let exchange = async {
        let mut stream = TcpStream::connect(addr).await?;
        stream.write_all(b"\x16\x03 this is no HTTP\r\n\r\n").await?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await?;
        Ok::<_, std::io::Error>(String::from_utf8_lossy(&answer).into_owned())
    };
    match timeout(RAW_LIMIT, exchange).await {
        Ok(Ok(text)) => text,
        Ok(Err(error)) => error.to_string(),
        Err(_) => "no answer".to_owned(),
    }
}
