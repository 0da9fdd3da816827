//! Conversion of service files to the neutral form that is validated.

use crate::service::{File, Operation};
use serde_json::{Value, json};
use validate::{Configuration, Entry, Precedence, Route, Service};

/// Converts service files.
#[must_use]
pub fn convert(files: &[File]) -> Configuration {
    Configuration {
        precedence: Precedence::First,
        routes: files.iter().flat_map(routes).collect(),
        services: files.iter().map(service).collect(),
        ..Configuration::default()
    }
}

fn routes(file: &File) -> impl Iterator<Item = Route> {
    let operations = file.operations.iter().enumerate();
    operations.map(|(index, operation)| route(file, index, operation))
}

fn route(file: &File, index: usize, operation: &Operation) -> Route {
    let name = format!("{} {} {}", file.service, operation.method, operation.path);
    let call = format!("{} {}", operation.method, operation.path);
    let place = format!("{} operation[{index}] {call:?}", file.service);
    let prefix = operation.path.strip_suffix('*');
    Route {
        entry: Entry::new(&place, &name, &to_json(operation), &["method", "path"]),
        host: file.service.to_string(),
        method: Some(operation.method.to_string()),
        path: prefix.unwrap_or(&operation.path).into(),
        is_exact: prefix.is_none(),
        backends: vec![(file.service.to_string(), 1)],
        is_repeatable: operation.idempotent,
        ..Route::default()
    }
}

fn service(file: &File) -> Service {
    let name = file.service.as_str();
    let model = file.model.as_deref().filter(|model| *model != name);
    Service {
        entry: Entry::new(name, name, &to_json(file), &["service", "operation"]),
        aliases: [name].into_iter().chain(model).map(Into::into).collect(),
        needs_route: false,
        addresses: file.endpoints.iter().map(|endpoint| endpoint.address.to_string()).collect(),
    }
}

/// Fields as JSON; `null` does not occur with these types.
fn to_json(value: &impl serde::Serialize) -> Value {
    serde_json::to_value(value).unwrap_or(json!(null))
}
