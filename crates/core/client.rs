//! HTTP client for operator commands to an entry host.

use foxtailhoist_host::operator::OperatorCommand;
use foxtailhoist_host::operator::OperatorReply;
use foxtailhoist_model::ErrorKind;
use foxtailhoist_model::Ran;
use foxtailhoist_model::Refusal;
use foxtailhoist_report::Report;
use reqwest::Certificate;
use reqwest::Client;
use reqwest::RequestBuilder;
use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::failure::Failure;
use crate::flags::OperatorFlags;

#[derive(Deserialize)]
struct ErrorBody {
    error: ErrorDetail,
}

#[derive(Deserialize)]
struct ErrorDetail {
    kind: ErrorKind,
    ran: Ran,
    message: String,
}

/// Sends a command and returns the reply.
///
/// # Errors
///
/// Fails when the host cannot be reached, refuses the command, or sends a reply that cannot be parsed.
pub async fn send(
    flags: &OperatorFlags,
    command: &OperatorCommand,
) -> Result<OperatorReply, Failure> {
    let request = client(flags)?.post(url(flags, "/v1/operator")).json(command);
    send_request(flags, request).await
}

/// Requests the fleet's service-level burn report.
///
/// # Errors
///
/// Fails when the host cannot be reached, refuses the request, or sends a report that cannot be parsed.
pub async fn burn_report(flags: &OperatorFlags) -> Result<Report, Failure> {
    send_request(flags, client(flags)?.get(url(flags, "/v1/report/burn"))).await
}

fn client(flags: &OperatorFlags) -> Result<Client, Failure> {
    let Some(ca_certificate) = &flags.ca_certificate else {
        return Ok(Client::new());
    };
    let invalid_certificate = |e: reqwest::Error| Failure::Usage(format!("--ca: {e}"));
    let ca_certificate = Certificate::from_pem(ca_certificate).map_err(invalid_certificate)?;
    Client::builder()
        .tls_certs_only([ca_certificate])
        .https_only(true)
        .build()
        .map_err(invalid_certificate)
}

fn url(flags: &OperatorFlags, path: &str) -> String {
    let scheme = if flags.ca_certificate.is_some() { "https" } else { "http" };
    format!("{scheme}://{}{path}", flags.address)
}

async fn send_request<T: DeserializeOwned>(
    flags: &OperatorFlags,
    request: RequestBuilder,
) -> Result<T, Failure> {
    let unreachable = |e: reqwest::Error| {
        Failure::Unreachable(format!(
            "entry host at {} cannot be reached: {e}; try another with --address",
            flags.address
        ))
    };
    let response = request.bearer_auth(&flags.key).send().await.map_err(unreachable)?;
    let is_success = response.status().is_success();
    let body = response.bytes().await.map_err(unreachable)?;
    let invalid_response = |e: serde_json::Error| {
        Failure::Failed(format!("cannot parse the entry host's response: {e}"))
    };
    if is_success {
        return serde_json::from_slice(&body).map_err(invalid_response);
    }
    let ErrorBody { error } = serde_json::from_slice(&body).map_err(invalid_response)?;
    let refusal =
        Refusal { kind: error.kind, ran: error.ran, message: error.message, retry_after: None };
    Err(Failure::Refused(Box::new(refusal)))
}
