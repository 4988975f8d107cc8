//! The mapping between the names in the settings and the indexes that the admission library uses.

use irishinge_admission::{ClassIndex, MachineKindIndex, PlanIndex, ZoneIndex};
use std::fmt;

/// The names that the settings give to request classes, plans, zones and machine kinds. The position of a
/// name in its list is the index that the admission library uses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Names {
    /// The names of the request classes.
    pub classes: Vec<String>,
    /// The names of the plans.
    pub plans: Vec<String>,
    /// The names of the zones.
    pub zones: Vec<String>,
    /// The names of the machine kinds.
    pub machine_kinds: Vec<String>,
}

/// The kind of thing that a name refers to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NameKind {
    /// A request class.
    Class,
    /// A plan.
    Plan,
    /// A zone.
    Zone,
    /// A machine kind.
    MachineKind,
}

impl fmt::Display for NameKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Class => "class",
            Self::Plan => "plan",
            Self::Zone => "zone",
            Self::MachineKind => "machine kind",
        })
    }
}

/// A name that does not occur in the settings.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("unknown {kind}: {name}")]
pub struct UnknownName {
    /// The kind of thing that the name was expected to refer to.
    pub kind: NameKind,
    /// The name as received.
    pub name: String,
}

impl Names {
    /// Returns the index of the request class called `name`.
    ///
    /// # Errors
    ///
    /// Fails with [`UnknownName`] if the settings have no such class.
    pub fn class_index(&self, name: &str) -> Result<ClassIndex, UnknownName> {
        index_of(&self.classes, name, NameKind::Class).map(ClassIndex)
    }

    /// Returns the index of the plan called `name`.
    ///
    /// # Errors
    ///
    /// Fails with [`UnknownName`] if the settings have no such plan.
    pub fn plan_index(&self, name: &str) -> Result<PlanIndex, UnknownName> {
        index_of(&self.plans, name, NameKind::Plan).map(PlanIndex)
    }

    /// Returns the index of the zone called `name`.
    ///
    /// # Errors
    ///
    /// Fails with [`UnknownName`] if the settings have no such zone.
    pub fn zone_index(&self, name: &str) -> Result<ZoneIndex, UnknownName> {
        index_of(&self.zones, name, NameKind::Zone).map(ZoneIndex)
    }

    /// Returns the index of the machine kind called `name`.
    ///
    /// # Errors
    ///
    /// Fails with [`UnknownName`] if the settings have no such machine kind.
    pub fn machine_kind_index(&self, name: &str) -> Result<MachineKindIndex, UnknownName> {
        index_of(&self.machine_kinds, name, NameKind::MachineKind).map(MachineKindIndex)
    }
}

/// Returns the position of `name` in `names`. `kind` is what the error says the name refers to.
fn index_of(names: &[String], name: &str, kind: NameKind) -> Result<usize, UnknownName> {
    names.iter().position(|known| known == name).ok_or_else(|| UnknownName { kind, name: name.to_owned() })
}
