//! Runs one case of the review: `review-case NAME`, in the case's folder.
//!
//! Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
//! With TROUBLE=0 it does the same without the disruption.

mod cases;
mod gateway;
mod host;
mod json;
mod packet;
mod record;
mod store;
mod world;

use std::process::ExitCode;

use crate::record::Record;

fn main() -> ExitCode {
    let name = std::env::args().nth(1).unwrap_or_default();
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let record = match Record::create("record.txt") {
        Ok(record) => record,
        Err(error) => {
            eprintln!("cannot write record.txt: {error}");
            return ExitCode::from(2);
        }
    };
    record.line(&format!(
        "case {name}, disruption {}",
        if trouble { "on" } else { "off" }
    ));
    let result = match name.as_str() {
        // The cases, in the order of their folders.
        "foreign-entry-without-id" => cases::foreign_entry_without_id(&record, trouble),
        "large-revision" => cases::large_revision(&record, trouble),
        "page-ends-with-foreign-name" => cases::page_ends_with_foreign_name(&record, trouble),
        "foreign-entry-same-address" => cases::foreign_entry_same_address(&record, trouble),
        "stale-second-page" => cases::stale_second_page(&record, trouble),
        // Further findings, which have no folder.
        "evacuation-lost-by-copy" => cases::evacuation_lost_by_copy(&record, trouble),
        "unreadable-entry" => cases::unreadable_entry(&record, trouble),
        "two-names-one-id" => cases::two_names_one_id(&record, trouble),
        _ => Err("unknown case".into()),
    };
    let (code, text) = match result {
        Ok(violations) if violations.is_empty() => (0, "the rule held".to_string()),
        Ok(violations) => (1, format!("the rule was broken: {}", violations.join("; "))),
        Err(error) => (2, format!("the case could not run: {error}")),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
