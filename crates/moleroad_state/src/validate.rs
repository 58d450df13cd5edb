//! Checks on an object's content before it is taken.

use moleroad_types::id::is_valid_name;
use moleroad_types::object::{SelectorSpec, ServiceSpec, WeightsSpec};
use moleroad_types::prelude::*;

/// Checks everything about `object` that does not depend on other objects.
///
/// # Errors
/// [`ResultCode::ObjectInvalid`] with the field that is wrong.
pub fn validate(object: &Object) -> Result<(), MoleroadError> {
    check_name("name", object.name.as_str())?;
    if object.version == ObjectVersion(0) {
        return Err(invalid("version: must be 1 or higher"));
    }
    match &object.spec {
        Spec::Account(account) if account.max_in_flight == 0 || account.requests_per_second == 0 => {
            Err(invalid("account: max_in_flight and requests_per_second must be above zero"))
        }
        Spec::Account(_) | Spec::Instance(_) | Spec::Deleted(_) => Ok(()),
        Spec::Model(model) => require_name(object, &format!("{}/{}", model.account, model.model)),
        Spec::Weights(weights) => check_weights(object, weights),
        Spec::Selector(selector) => check_selector(selector),
        Spec::Service(service) => check_service(object, service),
    }
}

/// The name that a weights object must have.
pub fn weights_name(account: &AccountId, model: &ModelName, version: &VersionName) -> ObjectName {
    ObjectName::new(format!("{account}/{model}/{version}"))
}

fn check_weights(object: &Object, weights: &WeightsSpec) -> Result<(), MoleroadError> {
    let wanted = weights_name(&weights.account, &weights.model, &weights.version);
    require_name(object, wanted.as_str())?;
    check_name("origin_path", weights.origin_path.trim_start_matches('/'))?;
    weights.manifest.check().map_err(|error| invalid(format!("manifest: {error}")))
}

fn check_selector(selector: &SelectorSpec) -> Result<(), MoleroadError> {
    if selector.weights.is_empty() || selector.instances.is_empty() {
        return Err(invalid("selector: weights and instances need at least one condition each"));
    }
    let conditions = selector.weights.iter().chain(&selector.instances);
    match conditions.into_iter().find(|condition| !condition.is_well_formed()) {
        Some(bad) => Err(invalid(format!("selector: wrong number of values for key {}", bad.key))),
        None => Ok(()),
    }
}

fn check_service(object: &Object, service: &ServiceSpec) -> Result<(), MoleroadError> {
    require_name(object, service.service.as_str())
}

fn require_name(object: &Object, wanted: &str) -> Result<(), MoleroadError> {
    if object.name.as_str() == wanted {
        return Ok(());
    }
    Err(invalid(format!("name: is {} and must be {wanted}", object.name)))
}

fn check_name(field: &str, name: &str) -> Result<(), MoleroadError> {
    if is_valid_name(name) {
        return Ok(());
    }
    Err(invalid(format!("{field}: {name:?} is not a valid name")))
}

/// A refusal with [`ResultCode::ObjectInvalid`].
pub fn invalid(detail: impl Into<String>) -> MoleroadError {
    MoleroadError::new(ResultCode::ObjectInvalid, detail)
}
