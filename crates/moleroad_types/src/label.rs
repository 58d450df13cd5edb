//! Labels and the requirements that selectors place on them.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Key and value pairs on an instance, a model or a version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Labels(pub BTreeMap<String, String>);

impl Labels {
    /// Builds labels from pairs; a later pair replaces an earlier one.
    pub fn from_pairs<K: Into<String>, V: Into<String>>(pairs: impl IntoIterator<Item = (K, V)>) -> Self {
        Self(pairs.into_iter().map(|(k, v)| (k.into(), v.into())).collect())
    }

    /// The value of `key`, if it is set.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key).map(String::as_str)
    }

    /// Sets `key`, replacing an earlier value.
    pub fn set(&mut self, key: impl Into<String>, value: impl Into<String>) {
        self.0.insert(key.into(), value.into());
    }
}

/// One condition on [`Labels`]; a selector holds when all of its conditions do.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Requirement {
    /// Label key that the condition reads.
    pub key: String,
    /// How the value is compared.
    pub operator: Operator,
    /// Values to compare with; empty for [`Operator::Exists`].
    #[serde(default)]
    pub values: Vec<String>,
}

/// How a [`Requirement`] compares a label.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Operator {
    /// The label is set to the one given value.
    Equals,
    /// The label is set to one of the values.
    In,
    /// The label is unset, or set to none of the values.
    NotIn,
    /// The label is set.
    Exists,
}

impl Requirement {
    /// A condition that `key` equals `value`.
    pub fn equals(key: impl Into<String>, value: impl Into<String>) -> Self {
        Self { key: key.into(), operator: Operator::Equals, values: vec![value.into()] }
    }

    /// Whether `labels` meet the condition.
    pub fn matches(&self, labels: &Labels) -> bool {
        let value = labels.get(&self.key);
        let listed = value.is_some_and(|value| self.values.iter().any(|v| v == value));
        match self.operator {
            Operator::Equals | Operator::In => listed,
            Operator::NotIn => !listed,
            Operator::Exists => value.is_some(),
        }
    }

    /// Whether the number of values fits the operator.
    pub fn is_well_formed(&self) -> bool {
        match self.operator {
            Operator::Equals => self.values.len() == 1,
            Operator::In | Operator::NotIn => !self.values.is_empty(),
            Operator::Exists => self.values.is_empty(),
        }
    }
}
