//! Deployments that are measured.

use crate::support::deployment::{DataCentreSize, Deployment, WorkspaceSize};

/// Data centres of the planned deployment, with their regions.
pub(crate) const CENTRES: [(&str, &str); 4] =
    [("stgo-a", "santiago"), ("stgo-b", "santiago"), ("vld-a", "valdivia"), ("vld-b", "valdivia")];

/// Name of the first database.
pub(crate) const DATABASE: &str = "capacity-1";

/// `count` instances spread over all data centres, and `databases` with one member in each of the first three data
/// centres.
pub(crate) fn distributed(count: usize, databases: usize) -> Deployment {
    let centre = |(index, (name, region)): (usize, (&str, &str))| DataCentreSize {
        name: name.to_owned(),
        region: region.to_owned(),
        instances: (count + CENTRES.len() - 1 - index) / CENTRES.len(),
    };
    let centres = CENTRES.into_iter().enumerate();
    let members = CENTRES[..3].iter().map(|(name, _)| (*name).to_owned()).collect();
    deployment(centres.map(centre).collect(), members, databases)
}

/// One instance and all `members` of a database in the first data centre, and `remote` instances in the second.
pub(crate) fn single_home(members: usize, remote: usize) -> Deployment {
    let centres = CENTRES.into_iter().zip([1, remote]).filter(|(_, instances)| *instances > 0);
    let centre = |((name, region), instances): ((&str, &str), usize)| DataCentreSize {
        name: name.to_owned(),
        region: region.to_owned(),
        instances,
    };
    deployment(centres.map(centre).collect(), vec![CENTRES[0].0.to_owned(); members], 1)
}

fn deployment(
    data_centres: Vec<DataCentreSize>,
    member_centres: Vec<String>,
    databases: usize,
) -> Deployment {
    Deployment {
        name: "capacity".to_owned(),
        seconds: 0,
        slots: 64,
        connections: 400,
        statement_us: 0,
        lag_ms: 5,
        data_centres,
        member_centres,
        databases: (1..=databases).map(|index| format!("capacity-{index}")).collect(),
        workspaces: vec![WorkspaceSize {
            name: "club-grande".to_owned(),
            database: DATABASE.to_owned(),
            // Far above the load that one machine can offer, so that admission rejects no request.
            rate: 10_000_000.0,
            burst: 1_000_000.0,
            offered: 0.0,
            sessions: 0,
            floods: false,
        }],
    }
}
