//! Handlers for operator commands, reports, health, readiness and metrics.

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
use crate::driver::Driver;
use crate::http;
use crate::keys::bearer_key;

/// `POST /v1/operator`: one command.
pub struct Command {
    pub driver: Arc<Driver>,
}

/// `GET /v1/report/burn`: the fleet's service-level burn report as JSON.
pub struct BurnReport {
    pub driver: Arc<Driver>,
}

/// `GET /readyz`: whether the load balancer may send requests.
pub struct Ready {
    pub driver: Arc<Driver>,
}

/// `GET /metrics`: metrics in the Prometheus text format.
pub struct Scrape {
    pub driver: Arc<Driver>,
}

/// `GET /healthz`: whether the process is running.
pub struct Health;

#[handler]
impl Command {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        match command(&self.driver, req).await {
            Ok(order) => match self.driver.execute_command(order).await {
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
        match authenticate(&self.driver, req) {
            Ok(_) => res.render(Json(burn::fleet_report(&self.driver).await)),
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
        if self.driver.is_ready() {
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
        match self.driver.metrics().page() {
            Ok(page) => {
                answers::set_header(res, "content-type", "text/plain; version=0.0.4");
                let _ = res.write_body(page);
            }
            Err(error) => {
                let refusal = Refusal::new(ErrorKind::Internal, &error.to_string());
                answers::refuse(res, &refusal, None);
            }
        }
    }
}

/// Reads a command. Its operator is the one whose key was presented, regardless of the body.
async fn command(driver: &Driver, req: &mut Request) -> Result<OperatorCommand, Refusal> {
    let operator = authenticate(driver, req)?;
    let body = http::read_body(req, driver.limits()).await?;
    let order: OperatorCommand = serde_json::from_slice(&body)
        .map_err(|e| Refusal::new(ErrorKind::BadRequest, &format!("body is not a command: {e}")))?;
    Ok(order.by(&operator))
}

/// Finds the operator whose key was presented.
fn authenticate(driver: &Driver, req: &Request) -> Result<OperatorId, Refusal> {
    let unknown = || {
        Refusal::new(
            ErrorKind::Unauthenticated,
            "send an operator's key as `Authorization: Bearer KEY`",
        )
    };
    let presented = http::header(req, "authorization").and_then(bearer_key).ok_or_else(unknown)?;
    driver.keys().operator(presented).cloned().ok_or_else(unknown)
}
