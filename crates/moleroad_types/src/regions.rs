//! Sets of regions in which a request may be served.

use crate::id::Region;
use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

/// Regions in which a request may be served; unrestricted by default.
///
/// Cloning is cheap: requests share the set of their configuration.
///
/// ```
/// use moleroad_types::prelude::*;
///
/// let route = AllowedRegions::only([Region::new("east"), Region::new("west")]);
/// let account = AllowedRegions::only([Region::new("west")]);
/// let both = route.intersection(&account);
/// assert!(both.contains(&Region::new("west")));
/// assert!(!both.contains(&Region::new("east")));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct AllowedRegions(Option<Arc<[Region]>>);

impl AllowedRegions {
    /// Returns the unrestricted set.
    pub fn all() -> Self {
        Self(None)
    }

    /// Returns a set of only these regions; an empty list allows none.
    pub fn only(regions: impl IntoIterator<Item = Region>) -> Self {
        // Sorted and deduplicated, so that equal sets compare equal.
        let regions: BTreeSet<Region> = regions.into_iter().collect();
        Self(Some(regions.into_iter().collect()))
    }

    /// Returns whether all regions are allowed.
    pub fn is_unrestricted(&self) -> bool {
        self.0.is_none()
    }

    /// Returns whether no region is allowed.
    pub fn is_empty(&self) -> bool {
        self.0.as_ref().is_some_and(|regions| regions.is_empty())
    }

    /// Returns whether `region` is allowed.
    pub fn contains(&self, region: &Region) -> bool {
        // A linear scan is faster than a binary search here: sets contain few names, and
        // this runs for each target of each routing decision.
        let regions = self.0.as_ref();
        regions.is_none_or(|regions| regions.iter().any(|allowed| allowed == region))
    }

    /// Returns the allowed regions in sorted order, or `None` if unrestricted.
    pub fn as_slice(&self) -> Option<&[Region]> {
        self.0.as_deref()
    }

    /// Returns whether this set allows every region that `other` allows.
    pub fn is_superset(&self, other: &Self) -> bool {
        match (&self.0, &other.0) {
            (None, _) => true,
            (Some(_), None) => false,
            (Some(_), Some(other)) => other.iter().all(|region| self.contains(region)),
        }
    }

    /// Returns the regions that at least one of the sets allows.
    pub fn union(&self, other: &Self) -> Self {
        match (&self.0, &other.0) {
            (Some(left), Some(right)) => Self::only(left.iter().chain(right.iter()).cloned()),
            _ => Self::all(),
        }
    }

    /// Returns the regions that both sets allow.
    pub fn intersection(&self, other: &Self) -> Self {
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
    /// Writes the names separated by commas, `all` for an unrestricted set, or `none` for
    /// an empty one.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(regions) = self.as_slice() else {
            return f.write_str("all");
        };
        if regions.is_empty() {
            return f.write_str("none");
        }
        let names: Vec<&str> = regions.iter().map(Region::as_str).collect();
        f.write_str(&names.join(","))
    }
}
