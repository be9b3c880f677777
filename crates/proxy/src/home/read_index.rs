//! Query for the present position of a member.

use hibiscusladder_core::position::Position;
use smol::lock::Mutex;

use crate::{
    route::PositionSource,
    upstream::{Connection, Pool, UpstreamError},
};

/// Queries the position of one member on a separate connection.
///
/// No client statement runs on this connection, so the member returns its own position and not that of a commit.
#[derive(Debug)]
pub(super) struct MemberPositionSource {
    pool: Pool,
    connection: Mutex<Option<Connection>>,
}

impl MemberPositionSource {
    pub(super) fn new(pool: Pool) -> Self {
        Self { pool, connection: Mutex::new(None) }
    }

    async fn query(&self) -> Result<Option<Position>, UpstreamError> {
        let mut idle = self.connection.lock().await;
        // The connection is put back only after its answer was read, so a query that is cancelled closes it.
        let mut connection = match idle.take() {
            Some(connection) => connection,
            None => self.pool.open().await?,
        };
        let result = connection.query("SELECT group_position()").await?;
        *idle = Some(connection);
        Ok(result.value(0).and_then(|text| text.parse().ok()))
    }
}

impl PositionSource for MemberPositionSource {
    async fn current_position(&self) -> Option<Position> {
        match self.query().await {
            Ok(position) => position,
            Err(error) => {
                spdlog::debug!("home: querying the position of the primary failed: {error}");
                None
            }
        }
    }
}
