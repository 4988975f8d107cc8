//! The names behind the indexes that the admission library works with.

use irishinge_admission::{ClassIndex, MachineKindIndex, PlanIndex, ZoneIndex};
use std::fmt;

/// The names that the settings give to request classes, plans, zones and machine kinds, each by its index.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Names {
    /// Request classes.
    pub classes: Vec<String>,
    /// Plans.
    pub plans: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
    /// Machine kinds.
    pub machine_kinds: Vec<String>,
}

/// What a name stands for.
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

/// A name that the settings do not give.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("unknown {kind}: {name}")]
pub struct UnknownName {
    /// What the name was expected to stand for.
    pub kind: NameKind,
    /// The name as it came.
    pub name: String,
}

impl Names {
    /// The index of the request class called `name`.
    ///
    /// # Errors
    ///
    /// Fails with [`UnknownName`] if the settings have no such class.
    pub fn class_index(&self, name: &str) -> Result<ClassIndex, UnknownName> {
        index_of(&self.classes, name, NameKind::Class).map(ClassIndex)
    }

    /// The index of the plan called `name`.
    ///
    /// # Errors
    ///
    /// Fails with [`UnknownName`] if the settings have no such plan.
    pub fn plan_index(&self, name: &str) -> Result<PlanIndex, UnknownName> {
        index_of(&self.plans, name, NameKind::Plan).map(PlanIndex)
    }

    /// The index of the zone called `name`.
    ///
    /// # Errors
    ///
    /// Fails with [`UnknownName`] if the settings have no such zone.
    pub fn zone_index(&self, name: &str) -> Result<ZoneIndex, UnknownName> {
        index_of(&self.zones, name, NameKind::Zone).map(ZoneIndex)
    }

    /// The index of the machine kind called `name`.
    ///
    /// # Errors
    ///
    /// Fails with [`UnknownName`] if the settings have no such machine kind.
    pub fn machine_kind_index(&self, name: &str) -> Result<MachineKindIndex, UnknownName> {
        index_of(&self.machine_kinds, name, NameKind::MachineKind).map(MachineKindIndex)
    }
}

fn index_of(names: &[String], name: &str, kind: NameKind) -> Result<usize, UnknownName> {
    names.iter().position(|known| known == name).ok_or_else(|| UnknownName { kind, name: name.to_owned() })
}
