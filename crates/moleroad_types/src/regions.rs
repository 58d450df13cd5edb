//! Sets of regions in which a request may be served.

use crate::id::Region;
use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

/// Regions in which a request may be served; without a restriction, all.
///
/// Cheap to clone: requests share the set of their configuration.
///
/// ```
/// use moleroad_types::prelude::*;
///
/// let route = AllowedRegions::only([Region::new("east"), Region::new("west")]);
/// let account = AllowedRegions::only([Region::new("west")]);
/// let both = route.and(&account);
/// assert!(both.contains(&Region::new("west")));
/// assert!(!both.contains(&Region::new("east")));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct AllowedRegions(Option<Arc<[Region]>>);

impl AllowedRegions {
    /// No restriction.
    pub fn all() -> Self {
        Self(None)
    }

    /// These regions alone; an empty list allows none.
    pub fn only(regions: impl IntoIterator<Item = Region>) -> Self {
        // In order and once each, so that equal sets are equal lists.
        let regions: BTreeSet<Region> = regions.into_iter().collect();
        Self(Some(regions.into_iter().collect()))
    }

    /// Whether there is no restriction.
    pub fn is_all(&self) -> bool {
        self.0.is_none()
    }

    /// Whether no region is allowed.
    pub fn is_none(&self) -> bool {
        self.0.as_ref().is_some_and(|regions| regions.is_empty())
    }

    /// Whether `region` is allowed.
    pub fn contains(&self, region: &Region) -> bool {
        // Sets hold a few names, and this runs for each target of each choice: a
        // scan is cheaper than a search.
        let regions = self.0.as_ref();
        regions.is_none_or(|regions| regions.iter().any(|allowed| allowed == region))
    }

    /// The regions in their order, where they are restricted.
    pub fn named(&self) -> Option<&[Region]> {
        self.0.as_deref()
    }

    /// Whether all that `other` allows is allowed here.
    pub fn covers(&self, other: &Self) -> bool {
        match (&self.0, &other.0) {
            (None, _) => true,
            (Some(_), None) => false,
            (Some(_), Some(other)) => other.iter().all(|region| self.contains(region)),
        }
    }

    /// The regions that either allows.
    pub fn or(&self, other: &Self) -> Self {
        match (&self.0, &other.0) {
            (Some(left), Some(right)) => Self::only(left.iter().chain(right.iter()).cloned()),
            _ => Self::all(),
        }
    }

    /// The regions that both allow.
    pub fn and(&self, other: &Self) -> Self {
        match (&self.0, &other.0) {
            (None, _) => other.clone(),
            (_, None) => self.clone(),
            (Some(left), Some(right)) if left == right => self.clone(),
            (Some(left), Some(_)) => {
                let common = left.iter().filter(|region| other.contains(region));
                Self::only(common.cloned())
            }
        }
    }
}

impl fmt::Display for AllowedRegions {
    /// The names, parted by commas; `all` without a restriction, `none` when
    /// no region is allowed.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(regions) = self.named() else {
            return f.write_str("all");
        };
        if regions.is_empty() {
            return f.write_str("none");
        }
        let names: Vec<&str> = regions.iter().map(Region::as_str).collect();
        f.write_str(&names.join(","))
    }
}
