//! Contact points: a few VMs of each failure domain that the store lists for VMs
//! that start while their seeds are gone.
//!
//! There is one list for each failure domain, whatever the size of the fleet. The root
//! of the domain writes it, and writes it again when half of its VMs are gone.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use wire::{Address, DomainId};

use crate::control_state::ControlState;
use crate::membership::Peer;
use crate::store::Store;
use crate::time::Ms;

/// Number of VMs in a list.
const CONTACTS_MAX: usize = 8;
/// Time for which a VM must be the root of its failure domain before it writes.
const ROOT_SETTLED: Ms = Ms(3000);
/// Interval at which a root checks its list.
const CHECK_INTERVAL: Duration = Duration::from_secs(3);
/// Timeout of a call to the store.
const CALL_TIMEOUT: Ms = Ms(500);

/// VMs of a failure domain to contact.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContactList {
    /// The failure domain.
    pub domain: DomainId,
    /// VMs to contact, in the order of their rank.
    pub peers: Vec<Peer>,
    /// Number of VMs in the failure domain.
    pub vms: u32,
}

/// The list to write for the running VMs of a failure domain; none if the list in
/// the store still serves. Incarnations do not matter, since a VM that starts again
/// keeps its address.
pub fn list_to_write(mut live: Vec<Peer>, stored: Option<&ContactList>) -> Option<ContactList> {
    live.sort_by_cached_key(|p| (p.rank(), p.member.vm));
    let vms = u32::try_from(live.len()).unwrap_or(u32::MAX);
    let domain = live.first()?.domain.clone();
    live.truncate(CONTACTS_MAX);
    if let Some(stored) = stored {
        let is_live = |address: &Address| live.iter().any(|p| p.address == *address);
        let left = stored.peers.iter().filter(|p| is_live(&p.address)).count();
        if left * 2 >= live.len() {
            return None;
        }
    }
    Some(ContactList {
        domain,
        peers: live,
        vms,
    })
}

/// Keeps the contact list of this VM's failure domain up to date while this VM is the
/// domain's root.
pub(crate) async fn publish_contacts(state: &ControlState, store: &Arc<Store>) {
    let mut root_since = None;
    let mut stored = None;
    let mut era = 0;
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let now = (state.clock)();
        if state.position().rank > 0 {
            (root_since, stored) = (None, None);
            continue;
        }
        if now.since(*root_since.get_or_insert(now)) < ROOT_SETTLED {
            continue;
        }
        // A store that came back from an older copy may lack the list.
        if std::mem::replace(&mut era, state.store_era()) != state.store_era() {
            stored = None;
        }
        if let Err(error) = update_list(state, store, &mut stored).await {
            log::info!(target: "store", error = error.to_string().as_str();
                "contact list not written; trying again");
        }
    }
}

async fn update_list(
    state: &ControlState,
    store: &Store,
    stored: &mut Option<ContactList>,
) -> crate::platform_client::Result<()> {
    let (domain, live) = {
        let members = state.members();
        let domain = members.own().domain.clone();
        let live: Vec<Peer> = members.live_in(&domain).cloned().collect();
        (domain, live)
    };
    if stored.is_none() {
        let lists = (store.read_contacts)(CALL_TIMEOUT).await?;
        *stored = lists.into_iter().find(|list| list.domain == domain);
    }
    if let Some(list) = list_to_write(live, stored.as_ref()) {
        (store.write_contacts)(list.clone(), CALL_TIMEOUT).await?;
        log::info!(target: "store", contacts = list.peers.len(); "contact list written");
        *stored = Some(list);
    }
    Ok(())
}
