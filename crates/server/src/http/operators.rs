//! Operators' commands, health, readiness and metrics.

use std::sync::Arc;

use foxtailhoist_host::operator::OperatorCommand;
use foxtailhoist_model::ErrorKind;
use foxtailhoist_model::OperatorId;
use foxtailhoist_model::Refusal;
use salvo::handler;
use salvo::http::StatusCode;
use salvo::prelude::Request;
use salvo::prelude::Response;
use salvo::writing::Json;

use crate::answers;
use crate::burn;
use crate::http;
use crate::keys::bearer;
use crate::shell::Shell;

/// `POST /v1/operator`: one command.
pub struct Command {
    pub shell: Arc<Shell>,
}

/// `GET /v1/report/burn`: the fleet's service-level burn report as JSON.
pub struct BurnReport {
    pub shell: Arc<Shell>,
}

/// `GET /readyz`: whether the balancer may send requests.
pub struct Ready {
    pub shell: Arc<Shell>,
}

/// `GET /metrics`
pub struct Scrape {
    pub shell: Arc<Shell>,
}

/// `GET /healthz`: the process runs.
pub struct Health;

#[handler]
impl Command {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        match command(&self.shell, req).await {
            Ok(order) => match self.shell.operator(order).await {
                Ok(reply) => res.render(Json(reply)),
                Err(refusal) => answers::refuse(res, &refusal, None),
            },
            Err(refusal) => answers::refuse(res, &refusal, None),
        }
    }
}

#[handler]
impl BurnReport {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        match authenticate(&self.shell, req) {
            Ok(_) => res.render(Json(burn::fleet_report(&self.shell).await)),
            Err(refusal) => answers::refuse(res, &refusal, None),
        }
    }
}

#[handler]
impl Health {
    async fn handle(&self, res: &mut Response) {
        res.render("ok\n");
    }
}

#[handler]
impl Ready {
    async fn handle(&self, res: &mut Response) {
        if self.shell.is_ready() {
            res.render("ready\n");
        } else {
            res.status_code(StatusCode::SERVICE_UNAVAILABLE);
            res.render("not ready\n");
        }
    }
}

#[handler]
impl Scrape {
    async fn handle(&self, res: &mut Response) {
        match self.shell.metrics().page() {
            Ok(page) => {
                answers::set(res, "content-type", "text/plain; version=0.0.4");
                let _ = res.write_body(page);
            }
            Err(error) => {
                let refusal = Refusal::new(ErrorKind::Internal, &error.to_string());
                answers::refuse(res, &refusal, None);
            }
        }
    }
}

/// Reads a command; the operator is the one whose key was presented, whatever the body says.
async fn command(shell: &Shell, req: &mut Request) -> Result<OperatorCommand, Refusal> {
    let operator = authenticate(shell, req)?;
    let body = http::body(req, shell.limits()).await?;
    let order: OperatorCommand = serde_json::from_slice(&body)
        .map_err(|e| Refusal::new(ErrorKind::BadRequest, &format!("body is not a command: {e}")))?;
    Ok(order.by(&operator))
}

/// The operator whose key was presented.
fn authenticate(shell: &Shell, req: &Request) -> Result<OperatorId, Refusal> {
    let unknown = || {
        Refusal::new(
            ErrorKind::Unauthenticated,
            "send an operator's key as `Authorization: Bearer KEY`",
        )
    };
    let presented = http::header(req, "authorization").and_then(bearer).ok_or_else(unknown)?;
    shell.keys().operator(presented).cloned().ok_or_else(unknown)
}
