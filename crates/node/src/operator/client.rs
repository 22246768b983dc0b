//! HTTP client of the operators' API. Tries the control machines in turn until one answers.

use std::time::Duration;

use drumshore_control::ChangeOutcome;
use drumshore_core::{ResourceKey, ResourceSpec, Revision};
use rand::Rng;
use serde::de::DeserializeOwned;
use serde::Deserialize;
use ureq::http::Response;
use ureq::{Agent, Body};

use super::ExitStatus;
use crate::control::{MemberChange, CHANGE_ID_HEADER, EXPECTED_VERSION_HEADER};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(45);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of times that a change is sent until it is confirmed, with the same change id.
const MAX_ATTEMPTS: u32 = 5;
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Why a request to the operators' API has no result.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The server answered with an error status.
    #[error("{message}")]
    Refused {
        /// HTTP status code.
        status: u16,
        /// The error message or reason in the response.
        message: String,
    },
    /// No server answered.
    #[error("no control machine answered: {0}")]
    Unreachable(String),
    /// A document cannot be read, parsed or encoded, or a response cannot be parsed.
    #[error("cannot read a document or response: {0}")]
    Unreadable(String),
}

impl ClientError {
    pub(super) fn exit_status(&self) -> ExitStatus {
        match self {
            ClientError::Refused { status: 401, .. } => ExitStatus::Unauthorized,
            ClientError::Refused { status: 404, .. } => ExitStatus::NotFound,
            ClientError::Refused { status: 409, .. } => ExitStatus::Conflict,
            ClientError::Refused { status: 400, .. } | ClientError::Unreadable(_) => {
                ExitStatus::Invalid
            }
            ClientError::Refused { status: 503, .. } | ClientError::Unreachable(_) => {
                ExitStatus::Unavailable
            }
            ClientError::Refused { .. } => ExitStatus::Failed,
        }
    }
}

#[derive(Deserialize)]
struct ErrorDocument {
    #[serde(default)]
    error: Option<ErrorDetail>,
    #[serde(default)]
    reason: Option<String>,
}

#[derive(Deserialize)]
struct ErrorDetail {
    message: String,
}

/// A client of the operators' API, and of a router's `/v1/explain`.
pub(super) struct Client {
    agent: Agent,
    urls: Vec<String>,
    key: String,
}

/// Returns the URL path of a resource.
pub(super) fn resource_path(key: &ResourceKey) -> String {
    format!("/v1/resources/{}/{}", key.kind.as_str(), key.name)
}

impl Client {
    pub(super) fn new(urls: Vec<String>, key: String) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .timeout_global(Some(REQUEST_TIMEOUT))
            .build();
        Self {
            agent: Agent::new_with_config(config),
            urls,
            key,
        }
    }

    pub(super) fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        let mut response = self.first_response(|url| {
            let call = self.agent.get(format!("{url}{path}"));
            call.header("authorization", self.bearer()).call()
        })?;
        read(&mut response)
    }

    /// Writes a resource. All attempts send the same change id, so a resend is not a second
    /// change.
    pub(super) fn put(
        &self,
        key: &ResourceKey,
        expected: Revision,
        spec: &ResourceSpec,
    ) -> Result<ChangeOutcome, ClientError> {
        let body =
            serde_json::to_vec(spec).map_err(|error| ClientError::Unreadable(error.to_string()))?;
        let change_id = new_change_id();
        self.send_until_confirmed(|url| {
            self.agent
                .put(format!("{url}{}", resource_path(key)))
                .header("authorization", self.bearer())
                .header(EXPECTED_VERSION_HEADER, expected.to_string())
                .header(CHANGE_ID_HEADER, &change_id)
                .send(&body[..])
        })
    }

    /// Removes a resource, with one change id for all attempts.
    pub(super) fn delete(
        &self,
        key: &ResourceKey,
        expected: Revision,
    ) -> Result<ChangeOutcome, ClientError> {
        let change_id = new_change_id();
        self.send_until_confirmed(|url| {
            self.agent
                .delete(format!("{url}{}", resource_path(key)))
                .header("authorization", self.bearer())
                .header(EXPECTED_VERSION_HEADER, expected.to_string())
                .header(CHANGE_ID_HEADER, &change_id)
                .call()
        })
    }

    /// Takes a step of a membership change. Only the leader accepts it, so the machines are tried
    /// in turn until one does.
    pub(super) fn change_members(&self, change: MemberChange) -> Result<(), ClientError> {
        let body = serde_json::to_vec(&change)
            .map_err(|error| ClientError::Unreadable(error.to_string()))?;
        let mut last_error = ClientError::Unreachable("no control machine is named".to_owned());
        for url in &self.urls {
            let call = self.agent.post(format!("{url}/v1/members"));
            match call.header("authorization", self.bearer()).send(&body[..]) {
                Ok(response) if response.status() == 200 => return Ok(()),
                Ok(mut response) => last_error = refusal(&mut response),
                Err(error) => last_error = ClientError::Unreachable(error.to_string()),
            }
        }
        Err(last_error)
    }

    /// Sends a change up to [`MAX_ATTEMPTS`] times, until a control machine gives a definite
    /// answer.
    fn send_until_confirmed(
        &self,
        send: impl Fn(&str) -> Result<Response<Body>, ureq::Error>,
    ) -> Result<ChangeOutcome, ClientError> {
        let mut last_error = ClientError::Unreachable(String::new());
        for _ in 0..MAX_ATTEMPTS {
            match self.first_response(&send) {
                Ok(mut response) => match response.status().as_u16() {
                    200 | 409 | 422 => return read_body(&mut response),
                    503 => last_error = refusal(&mut response),
                    _ => return Err(refusal(&mut response)),
                },
                Err(error) => last_error = error,
            }
            std::thread::sleep(RETRY_DELAY);
        }
        Err(last_error)
    }

    /// Tries the control machines in turn. Returns the first response whose status is not 503, or
    /// else the last 503 response.
    fn first_response(
        &self,
        send: impl Fn(&str) -> Result<Response<Body>, ureq::Error>,
    ) -> Result<Response<Body>, ClientError> {
        let mut last_error = "no control machine is named".to_owned();
        let mut unconfirmed = None;
        for url in &self.urls {
            match send(url) {
                Ok(response) if response.status() == 503 => unconfirmed = Some(response),
                Ok(response) => return Ok(response),
                Err(error) => last_error = format!("{url}: {error}"),
            }
        }
        unconfirmed.ok_or(ClientError::Unreachable(last_error))
    }

    fn bearer(&self) -> String {
        format!("Bearer {}", self.key)
    }
}

fn new_change_id() -> String {
    format!("{:032x}", rand::rng().random::<u128>())
}

fn read<T: DeserializeOwned>(response: &mut Response<Body>) -> Result<T, ClientError> {
    if response.status() != 200 {
        return Err(refusal(response));
    }
    read_body(response)
}

fn read_body<T: DeserializeOwned>(response: &mut Response<Body>) -> Result<T, ClientError> {
    let unreadable = |error: String| ClientError::Unreadable(error);
    let body = response
        .body_mut()
        .read_to_vec()
        .map_err(|error| unreadable(error.to_string()))?;
    serde_json::from_slice(&body).map_err(|error| unreadable(error.to_string()))
}

fn refusal(response: &mut Response<Body>) -> ClientError {
    let status = response.status().as_u16();
    let message = match read_body::<ErrorDocument>(response) {
        Ok(ErrorDocument {
            error: Some(detail),
            ..
        }) => detail.message,
        Ok(ErrorDocument {
            reason: Some(reason),
            ..
        }) => reason,
        _ => format!("status {status}"),
    };
    ClientError::Refused { status, message }
}
