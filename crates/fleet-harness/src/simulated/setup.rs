//! The configuration of a fleet that consists of simulated members alone.

use std::net::SocketAddr;
use std::sync::Arc;

use super::engine::{AddressBook, SharedContext};
use super::member::Setup;
use super::plan::SimulatedFleetPlan;
use super::script::Script;
use super::traffic::Traffic;

/// Number of members that each member contacts first.
const SEEDS: usize = 3;

/// The configuration of a fleet's members.
pub(super) struct FleetSetup {
    /// State that all engines share.
    pub(super) context: SharedContext,
    /// Configurations by member number.
    pub(super) members: Vec<Setup>,
}

impl FleetSetup {
    /// Configures all members of a plan. `addresses` are given by member number.
    pub(super) fn of(plan: &SimulatedFleetPlan, addresses: &[SocketAddr]) -> FleetSetup {
        let seeds: Vec<SocketAddr> = addresses.iter().copied().take(SEEDS).collect();
        let setup = |(index, address): (usize, &SocketAddr)| Setup {
            index,
            address: *address,
            seeds: seeds.clone(),
            fleet_size: plan.members,
            timing: plan.timing,
        };
        FleetSetup {
            context: SharedContext {
                addresses: Arc::new(AddressBook::new(addresses)),
                traffic: Arc::new(Traffic::new(plan.members)),
                script: Arc::new(Script::of(plan)),
                first_simulated: 0,
                seed: plan.seed,
            },
            members: addresses.iter().enumerate().map(setup).collect(),
        }
    }
}
