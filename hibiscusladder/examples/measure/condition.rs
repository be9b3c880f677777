//! Conditions under which a deployment is measured.

use std::error::Error;

use hibiscusladder::load::config::{FaultConfig, LoadConfig, Mix, RunConfig, WorkspaceLoad};

use crate::support::{deployment::Deployment, fleet::Fleet};

/// Rate that a flooding workspace offers, as a multiple of the rate in its contract.
const FLOOD_FACTOR: f64 = 10.0;

/// Condition under which load is offered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Condition {
    /// No fault, and every workspace offers its usual rate.
    Calm,
    /// The workspaces marked as flooding offer [`FLOOD_FACTOR`] times their rate.
    Flood,
    /// The primary of the first database is suspended for a third of the run.
    Failover,
}

impl Condition {
    pub(crate) const ALL: [Self; 3] = [Self::Calm, Self::Flood, Self::Failover];

    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Calm => "calm",
            Self::Flood => "flood",
            Self::Failover => "failover",
        }
    }

    /// Builds the configuration of the load run.
    pub(crate) fn load_config(
        self,
        deployment: &Deployment,
        fleet: &Fleet,
    ) -> Result<LoadConfig, Box<dyn Error>> {
        let workspaces = deployment.workspaces.iter().zip(fleet.keys()).map(|(size, key)| {
            let floods = self == Self::Flood && size.floods;
            WorkspaceLoad {
                name: size.name.clone(),
                database: size.database.clone(),
                key: key.clone(),
                sessions: if floods { size.sessions * 8 } else { size.sessions },
                offered_rate: if floods { size.rate * FLOOD_FACTOR } else { size.offered },
                contract_rate: size.rate,
                contract_burst: size.burst,
                mix: Mix::default(),
                roam_after: 20,
            }
        });
        Ok(LoadConfig {
            run: RunConfig {
                seconds: deployment.seconds,
                targets: fleet.targets(),
                seed: 1,
                timeout_ms: 10_000,
                database_admin: vec![fleet.database_admin()],
            },
            workspaces: workspaces.collect(),
            faults: self.faults(deployment, fleet)?,
        })
    }

    fn faults(
        self,
        deployment: &Deployment,
        fleet: &Fleet,
    ) -> Result<Vec<FaultConfig>, Box<dyn Error>> {
        if self != Self::Failover {
            return Ok(Vec::new());
        }
        let database = deployment.databases.first().ok_or("the deployment has no database")?;
        let fault = |at_ms, frozen| FaultConfig {
            at_ms,
            address: fleet.database_admin(),
            path: format!("/admin/members/{database}-1"),
            body: format!("{{\"frozen\": {frozen}}}"),
        };
        let third = deployment.seconds * 1000 / 3;
        Ok(vec![fault(third, true), fault(2 * third, false)])
    }
}
