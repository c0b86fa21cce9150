//! Data residency: the regions in which a request may be served.
//!
//! A route and a team may each name regions; if both do, a region must be in both sets. The limits
//! hold for every send of a request, including retries and streams that another endpoint
//! continues.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::name::Region;

/// The regions in which a route or a team allows requests to be served.
// An empty set allows every region.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllowedRegions(BTreeSet<Region>);

impl AllowedRegions {
    /// Whether requests may be served in a region. A zone without a known region has the empty
    /// region name, which no set contains.
    #[must_use]
    pub fn allows(&self, region: &Region) -> bool {
        self.0.is_empty() || self.0.contains(region)
    }

    /// The regions that the set names.
    pub fn regions(&self) -> impl Iterator<Item = &Region> {
        self.0.iter()
    }
}

impl FromIterator<Region> for AllowedRegions {
    fn from_iter<T: IntoIterator<Item = Region>>(regions: T) -> Self {
        Self(regions.into_iter().collect())
    }
}

/// All sets of allowed regions that apply to one request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Residency(Vec<AllowedRegions>);

impl Residency {
    /// Whether every set allows a region.
    #[must_use]
    pub fn allows(&self, region: &Region) -> bool {
        self.0.iter().all(|regions| regions.allows(region))
    }

    /// Adds the limits of a newer configuration: a request that is not sent yet must meet both.
    #[must_use]
    pub fn and(mut self, other: Self) -> Self {
        let more =
            other.0.into_iter().filter(|regions| !self.0.contains(regions)).collect::<Vec<_>>();
        self.0.extend(more);
        self
    }
}

impl FromIterator<AllowedRegions> for Residency {
    fn from_iter<T: IntoIterator<Item = AllowedRegions>>(limits: T) -> Self {
        Self(limits.into_iter().filter(|regions| *regions != AllowedRegions::default()).collect())
    }
}
