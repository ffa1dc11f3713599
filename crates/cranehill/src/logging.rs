//! The formats of log lines: plain text, or one JSON object per line that includes the key-values of the log call.

use std::io::Write;

use env_logger::fmt::Formatter;
use log::Record;
use log::kv::{Error, Key, Value, VisitSource, VisitValue};
use serde_json::{Map, Value as Json};

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum Format {
    /// Time, level, target and message.
    #[default]
    Text,
    /// One JSON object per line: `ts`, `level`, `target`, `msg`, and each key-value under its own name.
    Json,
}

/// Starts logging to standard error, at the level of `RUST_LOG` or else `info`.
///
/// # Panics
/// If a logger is already installed.
pub fn start(format: Format) {
    let mut builder =
        env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"));
    builder.format_timestamp_millis();
    if format == Format::Json {
        builder.format(|out, record| {
            let ts = out.timestamp_millis().to_string();
            write_json(out, &ts, record)
        });
    }
    builder.init();
}

fn write_json(out: &mut Formatter, ts: &str, record: &Record<'_>) -> std::io::Result<()> {
    writeln!(out, "{}", object(ts, record))
}

/// The line as an object. The line's own fields are inserted last, so that a key-value of the same name can't replace them.
fn object(ts: &str, record: &Record<'_>) -> Json {
    let mut fields = FieldCollector(Map::new());
    // `FieldCollector` returns no error.
    let _ = record.key_values().visit(&mut fields);
    let FieldCollector(mut map) = fields;
    map.insert("ts".into(), ts.into());
    map.insert("level".into(), record.level().as_str().into());
    map.insert("target".into(), record.target().into());
    map.insert("msg".into(), record.args().to_string().into());
    Json::Object(map)
}

/// Collects key-values as the fields of a JSON object.
struct FieldCollector(Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for FieldCollector {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let mut converter = ValueConverter(Json::Null);
        value.visit(&mut converter)?;
        self.0.insert(key.to_string(), converter.0);
        Ok(())
    }
}

/// Converts one value; anything but a number or a boolean becomes a string.
struct ValueConverter(Json);

impl<'v> VisitValue<'v> for ValueConverter {
    fn visit_any(&mut self, value: Value<'_>) -> Result<(), Error> {
        self.0 = value.to_string().into();
        Ok(())
    }
    fn visit_u64(&mut self, value: u64) -> Result<(), Error> {
        self.0 = value.into();
        Ok(())
    }
    fn visit_i64(&mut self, value: i64) -> Result<(), Error> {
        self.0 = value.into();
        Ok(())
    }
    fn visit_f64(&mut self, value: f64) -> Result<(), Error> {
        self.0 = value.into();
        Ok(())
    }
    fn visit_bool(&mut self, value: bool) -> Result<(), Error> {
        self.0 = value.into();
        Ok(())
    }
}

#[cfg(test)]
mod tests;
