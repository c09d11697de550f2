//! `report burn`: prints the fleet's service-level burn report.

use crate::client;
use crate::failure::Failure;
use crate::flags::OperatorFlags;
use crate::flags::ReportFormat;

/// Prints the report as text, JSON or an HTML page.
///
/// # Errors
///
/// Fails when the entry host cannot be reached or refuses the request.
pub async fn burn(flags: OperatorFlags, format: ReportFormat) -> Result<(), Failure> {
    let report = client::burn_report(&flags).await?;
    match format {
        ReportFormat::Text => print!("{}", report.to_text()),
        ReportFormat::Html => print!("{}", report.to_html()),
        ReportFormat::Json => {
            let json = report.to_json().map_err(|e| Failure::Failed(e.to_string()))?;
            println!("{json}");
        }
    }
    Ok(())
}
