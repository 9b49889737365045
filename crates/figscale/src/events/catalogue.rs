//! Events of the catalogue, numbered from 3000.

use crate::events::define_events;

define_events! {
    3001 CATALOGUE_IN_FORCE Info "A higher revision of the catalogue came into force on this instance; the source tells how it was received.";
    3002 CATALOGUE_ACCEPTED Info "An operator's change was accepted.";
    3003 CATALOGUE_REFUSED Info "An operator's change was refused or not decided; the response gave the reason.";
    3101 CATALOGUE_OLDER_IGNORED Warn "The store returned an older catalogue than the one in force; it was ignored. A single occurrence after an outage is harmless; if it repeats, the store was reverted to an earlier state.";
    3102 CATALOGUE_REPAIRED Warn "The store held an older catalogue than the one in force, and the one in force was written back. Find out why the store was reverted to an earlier state.";
    3103 CATALOGUE_FORKED Error "The store holds a different change under the revision in force: it lost an accepted write. The catalogue in force is kept; compare both histories and apply the change again.";
    3104 CATALOGUE_UNREADABLE Error "The value of the store key `catalogue` is not a catalogue document; the catalogue in force is kept. The value was written by another program or by a newer version.";
    3105 CATALOGUE_STORE_AWAY Warn "The store stopped answering reads of the catalogue; the catalogue in force is kept, and peers still forward newer revisions.";
}
