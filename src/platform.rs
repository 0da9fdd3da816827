//! Clients of the platform's services.

use crate::output::Failure;
use codes::Code;
use std::{net::SocketAddr, time::Duration};
use store::{Directory, Objects, Table, http::Client};

/// Timeout of one call.
const TIMEOUT: Duration = Duration::from_secs(2);

async fn client(address: SocketAddr) -> Result<Client, Failure> {
    let client = Client::new(address, TIMEOUT).await;
    client.map_err(|e| Failure::new(Code::StoreUnavailable, format!("{e:#}")))
}

/// Table at `address`.
pub async fn table(address: SocketAddr) -> Result<Table, Failure> {
    Ok(Table::new(client(address).await?))
}

/// Object store at `address`.
pub async fn objects(address: SocketAddr) -> Result<Objects, Failure> {
    Ok(Objects::new(client(address).await?))
}

/// Directory at `address`.
pub async fn directory(address: SocketAddr) -> Result<Directory, Failure> {
    Ok(Directory::new(client(address).await?))
}
