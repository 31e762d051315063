//! Formats findings and errors as text.

use hemlocktack_protocol::Finding;

use crate::error::Error;

/// Formats each finding as a line with its place and fault, and a line with help if there is any.
fn findings(findings: &[Finding]) -> String {
    let mut text = String::new();
    for finding in findings {
        let place = match finding.place.as_str() {
            "" => "document",
            place => place,
        };
        let line = match finding.line {
            0 => String::new(),
            line => format!(" (line {line})"),
        };
        text += &format!("  {place}{line}: {}\n", finding.label);
        if !finding.help.is_empty() {
            text += &format!("    help: {}\n", finding.help);
        }
    }
    text
}

/// Formats an error for stderr.
pub(crate) fn failure(error: &Error) -> String {
    let mut text = format!("error: {error}\n");
    text += &findings(error.findings());
    if let Some(help) = error.help() {
        text += &format!("help: {help}\n");
    }
    text
}
