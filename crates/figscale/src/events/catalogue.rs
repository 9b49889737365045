//! Catalogue: events from 3000.

use crate::events::define_events;

define_events! {
    3001 CATALOGUE_IN_FORCE Info "A higher revision of the catalogue came into force here; the source tells how it came.";
    3002 CATALOGUE_ACCEPTED Info "An operator's change was accepted.";
    3003 CATALOGUE_REFUSED Info "An operator's change was refused or not decided; the answer told why.";
    3101 CATALOGUE_OLDER_IGNORED Warn "The store showed an older catalogue than the one in force; it was ignored. Once after an outage is harmless; if it goes on, the store was set back.";
    3102 CATALOGUE_REPAIRED Warn "The store had an older catalogue than the one in force, and the one in force was written back. Find out why the store was set back.";
    3103 CATALOGUE_FORKED Error "The store has another change under the revision in force: it lost an accepted write. The catalogue in force stays; look at both histories and apply again.";
    3104 CATALOGUE_UNREADABLE Error "The value of the store's key `catalogue` is no catalogue document; the one in force stays. Somebody else wrote it, or a newer version did.";
    3105 CATALOGUE_STORE_AWAY Warn "The store stopped answering the catalogue's reads; the catalogue in force stays, and peers still pass on newer ones.";
}
