//! Formats wall times in UTC.

use time::{
    format_description::BorrowedFormatItem,
    macros::format_description,
    OffsetDateTime, //
};

const FORMAT: &[BorrowedFormatItem<'static>] =
    format_description!("[year]-[month]-[day] [hour]:[minute]:[second].[subsecond digits:3] UTC");

/// Formats a wall time in milliseconds since the Unix epoch, with three digits of the second.
///
/// Times out of range are returned as a number of milliseconds.
pub fn format_wall_time(wall_ms: u64) -> String {
    let since_epoch = i128::from(wall_ms) * 1_000_000;
    let moment = OffsetDateTime::from_unix_timestamp_nanos(since_epoch);
    let text = moment.ok().and_then(|moment| moment.format(FORMAT).ok());
    text.unwrap_or_else(|| format!("{wall_ms} ms"))
}
