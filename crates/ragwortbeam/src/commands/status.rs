//! The `status` subcommand, which prints the status reports of VMs.

use ragwortbeam_base::http::Client;
use tokio::runtime::Runtime;

use super::{EXIT_FAILED, EXIT_INVALID_INPUT, EXIT_OK, Status};
use crate::admin::Report;
use crate::prelude::*;

/// Time allowed for the status request to each VM.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Prints the status of the VMs at the admin addresses; returns the exit code.
pub fn run(command: &Status) -> u8 {
    if command.addresses.is_empty() {
        eprintln!("expected at least one admin address");
        return EXIT_INVALID_INPUT;
    }
    let runtime = match Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("runtime: {error}");
            return EXIT_FAILED;
        }
    };
    if !command.json {
        println!("{}", table_header());
    }
    let mut code = EXIT_OK;
    for address in &command.addresses {
        match runtime.block_on(fetch_report(address)) {
            Ok(report) if command.json => {
                println!(
                    "{}",
                    serde_json::to_string(&report).expect("a status report can be encoded as JSON")
                );
            }
            Ok(report) => println!("{}", table_row(&report)),
            Err(error) => {
                eprintln!("{address}: {error}");
                code = EXIT_FAILED;
            }
        }
    }
    code
}

async fn fetch_report(address: &str) -> Result<Report> {
    let answer = Client::new(address)
        .get("/status", TIMEOUT)
        .await
        .map_err(Error::admin)?;
    if !answer.status.is_success() {
        return Err(Error::admin(format!("status {}", answer.status)));
    }
    serde_json::from_slice(&answer.body).map_err(Error::admin)
}

fn table_header() -> String {
    format!(
        "{:<16} {:<12} {:>8} {:>6} {:>8} {:>8} {:>8} {:>9} {}",
        "VM",
        "DATA CENTRE",
        "RELEASE",
        "OWNERS",
        "FLOWS",
        "REPLICAS",
        "FEEDS",
        "IN FLIGHT",
        "REFUSALS"
    )
}

fn table_row(report: &Report) -> String {
    let refusals: Vec<String> = report
        .refusals
        .iter()
        .map(|(reason, count)| format!("{reason}={count}"))
        .collect();
    format!(
        "{:<16} {:<12} {:>8} {:>6} {:>8} {:>8} {:>8} {:>9} {}",
        report.vm,
        report.data_centre,
        report.release,
        report.owners,
        report.flows,
        report.replicas,
        report.feeds,
        report.in_flight,
        refusals.join(" ")
    )
}
