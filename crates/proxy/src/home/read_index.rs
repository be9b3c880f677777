//! The question for the present position of one member.

use hibiscusladder_core::position::Position;
use smol::lock::Mutex;

use crate::{
    route::Question,
    upstream::{Connection, Pool, UpstreamError},
};

/// Asks one member for its position on a connection of its own.
///
/// No client statement runs on the connection, so the member answers its own position and not that of a commit.
#[derive(Debug)]
pub(super) struct MemberQuestion {
    pool: Pool,
    connection: Mutex<Option<Connection>>,
}

impl MemberQuestion {
    pub(super) fn new(pool: Pool) -> Self {
        Self { pool, connection: Mutex::new(None) }
    }

    async fn query(&self) -> Result<Option<Position>, UpstreamError> {
        let mut kept = self.connection.lock().await;
        // The connection is put back only after its answer was read, so a question that is given up closes it.
        let mut connection = match kept.take() {
            Some(connection) => connection,
            None => self.pool.open().await?,
        };
        let result = connection.query("SELECT group_position()").await?;
        *kept = Some(connection);
        Ok(result.value(0).and_then(|text| text.parse().ok()))
    }
}

impl Question for MemberQuestion {
    async fn ask(&self) -> Option<Position> {
        match self.query().await {
            Ok(position) => position,
            Err(error) => {
                spdlog::debug!("home: the primary's position is not known: {error}");
                None
            }
        }
    }
}
