//! Seeded models of whole fleets, run on the product's own decisions.
//!
//! ```
//! use model::{storm, Flaw};
//!
//! let report = storm(1, 9, 5, Flaw::None);
//! assert!(report.broken.is_empty(), "{:?}", report.broken);
//! ```

mod fleet;
mod growth;
mod network;
mod relay;
mod restart;
mod store;

pub use fleet::{Cost, Flaw, Fleet, Plan};
pub use growth::growth;
pub use relay::{
    removed_route_lost_by_copy, restart_with_old_lists, storm, storm_with_copies,
    storm_with_old_lists, storm_with_old_pages, Report,
};
pub use restart::{restart, restart_in_outage, restart_without_seeds, Restart};
