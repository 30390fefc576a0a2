/* One replica of the log: consensus as a state machine without sockets,
 * files, clock or randomness of its own.
 *
 * The owner hands in messages and the time, writes what
 * br_replica_take_writes() returns, says so with br_replica_persisted(), sends
 * the messages that br_replica_take_message() releases, and applies what
 * br_replica_next_committed() returns. */
#ifndef BR_REPLICA_REPLICA_H
#define BR_REPLICA_REPLICA_H

#include "base/random.h"
#include "replica/log.h"
#include "replica/message.h"
#include "replica/wire.h"

BR_BEGIN_DECLS

/* X (id, name) */
#define BR_REPLICA_ROLE_TABLE(X)                                               \
  X (LEARNER, "learner")                                                       \
  X (FOLLOWER, "follower")                                                     \
  X (PRE_CANDIDATE, "pre-candidate")                                           \
  X (CANDIDATE, "candidate")                                                   \
  X (LEADER, "leader")

typedef enum
{
#define X(id, name) BR_ROLE_##id,
  BR_REPLICA_ROLE_TABLE (X)
#undef X
} br_replica_role_t;

typedef struct br_replica br_replica_t;

/* Another VM that may hold a replica. */
typedef struct
{
  br_name_t vm;
  bool voter; /* of the first configuration */
} br_replica_peer_t;

BR_VEC (br_replica_peers, br_replica_peer_t);

typedef struct
{
  br_name_t vm;
  uint64_t disk;        /* identity of this disk, or of this run without one */
  uint64_t incarnation; /* of this run */
  bool voter;           /* wants a vote */
  bool joins;           /* not among the first voters, whatever the peers are */
  br_replica_peers_t peers; /* copied; without peers it leads by itself */
  br_ms_t heartbeat_ms;
  br_ms_t election_min_ms; /* several heartbeats */
  br_ms_t election_max_ms;
  br_ms_t proposal_wait_ms; /* how long a proposal waits for a leader */
  br_ms_t proposal_max_ms;  /* then its outcome is unknown */
  size_t append_max_bytes;
  size_t snapshot_chunk_bytes;
  br_ms_t remove_unreachable_ms; /* a voter not heard of for this long loses its
                                  * vote while enough others stay; 0: never */
  uint64_t seed;
} br_replica_options_t;

/* What was on the disk.  The replica takes everything over. */
typedef struct
{
  br_hard_state_t hard_state;
  br_replica_snapshot_t snapshot; /* index 0: none */
  br_entries_t entries;           /* after the snapshot, without gaps */
} br_replica_saved_t;

/* SAVED may be NULL. */
br_replica_t *br_replica_new (const br_replica_options_t *options,
                              br_replica_saved_t *saved,
                              br_ms_t now);
void br_replica_free (br_replica_t *replica);

/* Handles a message, which it takes over. */
void br_replica_step (br_replica_t *replica,
                      br_ms_t now,
                      br_replica_message_t message);

/* Does what is due.  Call it at br_replica_deadline() or more often. */
void br_replica_tick (br_replica_t *replica, br_ms_t now);
br_ms_t br_replica_deadline (const br_replica_t *replica);

/* Says that the connection to VM was lost.  When it leads, an election is
 * tried soon; it fails as long as a majority still hears of the leader. */
void
br_replica_suspect (br_replica_t *replica, br_ms_t now, const br_name_t *vm);

/* Proposes COMMAND with a ticket above all earlier ones.  Its outcome comes
 * as BR_REPLICA_EVENT_PROPOSAL. */
void br_replica_propose (br_replica_t *replica,
                         br_ms_t now,
                         uint64_t ticket,
                         br_str_t command);

/* Asks for the index up to which this replica must have applied to see every
 * commit answered before now.  BR_REPLICA_EVENT_READ comes once it has. */
void br_replica_read (br_replica_t *replica, br_ms_t now, uint64_t ticket);

/* Says whether the disk has room.  Without it the leader refuses proposals. */
void br_replica_set_has_space (br_replica_t *replica, bool has_space);

/* Names another VM that may lead, to be asked when this one wants to join. */
void br_replica_add_peer (br_replica_t *replica, const br_name_t *vm);

/* --- changes of the configuration, on the leader --- */

/* Whether the change was started: false when this is not the leader or
 * another change is not committed yet. */
bool br_replica_remove_voter (br_replica_t *replica,
                              br_ms_t now,
                              const br_name_t *vm);

/* Lets a VM that was removed join as a voter again. */
bool br_replica_allow_voter (br_replica_t *replica,
                             br_ms_t now,
                             const br_name_t *vm);

/* Hands leadership to the voter that has most of the log.  False when this
 * is not the leader, is handing over already, or nobody can take over. */
bool br_replica_transfer (br_replica_t *replica, br_ms_t now);

/* --- what the owner writes --- */

/* CHANGE counts the changes that must be on disk.  SNAPSHOT, when not NULL,
 * is written together with the hard state and all entries of the log, in
 * place of everything older. */
typedef struct
{
  uint64_t change;
  bool has_hard_state;
  br_hard_state_t hard_state;
  uint64_t first; /* entries to write; LAST below FIRST: none */
  uint64_t last;
  const br_replica_snapshot_t *snapshot;
} br_replica_writes_t;

/* False when there is nothing to write.  No second call before
 * br_replica_persisted(). */
bool br_replica_has_writes (const br_replica_t *replica);
bool br_replica_take_writes (br_replica_t *replica,
                             br_replica_writes_t *writes);
void br_replica_persisted (br_replica_t *replica, br_ms_t now, uint64_t change);

/* What is known to be committed goes to the disk with the next write; this asks
 * for one when there is none. */
void br_replica_save_commit (br_replica_t *replica);

/* Gives a message that may be sent now; the caller releases it. */
bool br_replica_take_message (br_replica_t *replica,
                              br_replica_message_t *message);

/* Says that MESSAGE could not be sent, so that a proposal or read in it waits
 * for a leader again. */
void br_replica_send_failed (br_replica_t *replica,
                             const br_replica_message_t *message);

/* Sends what has gathered since the last call: one message to each follower
 * for all proposals and commits in between. */
void br_replica_flush (br_replica_t *replica);

/* --- what the owner applies --- */

/* The next committed entry, or NULL.  It is valid until the next call. */
const br_entry_t *br_replica_next_committed (const br_replica_t *replica);

/* Says that the entry from br_replica_next_committed() was applied. */
void br_replica_applied (br_replica_t *replica, br_ms_t now);

/* Fills SNAPSHOT for the state at the applied index; the caller releases it or
 * hands it to br_replica_compact(). */
void br_replica_make_snapshot (const br_replica_t *replica,
                               br_str_t state,
                               br_replica_snapshot_t *snapshot);

/* Takes over SNAPSHOT, which is on disk together with the entries after it,
 * and drops the entries up to it. */
void br_replica_compact (br_replica_t *replica,
                         br_replica_snapshot_t *snapshot);

/* Ends every proposal and read without an outcome, as this replica goes on no
 * longer. */
void br_replica_abandon (br_replica_t *replica);

typedef enum
{
  BR_REPLICA_EVENT_PROPOSAL,
  BR_REPLICA_EVENT_READ,
  BR_REPLICA_EVENT_SNAPSHOT, /* restore the state from br_replica_snapshot() */
  BR_REPLICA_EVENT_ROLE,
  BR_REPLICA_EVENT_CONFIG,
} br_replica_event_kind_t;

typedef enum
{
  BR_OUTCOME_COMMITTED,
  BR_OUTCOME_REFUSED, /* surely not in the log, now or later */
  BR_OUTCOME_UNKNOWN,
} br_outcome_t;

typedef struct
{
  br_replica_event_kind_t kind;
  uint64_t ticket;
  br_outcome_t outcome;
  bool no_space; /* refused for want of room on the leader's disk */
  uint64_t index;
} br_replica_event_t;

bool br_replica_take_event (br_replica_t *replica, br_replica_event_t *event);

/* --- what can be seen --- */

br_replica_role_t br_replica_role (const br_replica_t *replica);
const char *br_replica_role_name (br_replica_role_t role);
uint64_t br_replica_term (const br_replica_t *replica);
const br_hard_state_t *br_replica_hard_state (const br_replica_t *replica);

/* Empty when no leader is known. */
const br_name_t *br_replica_leader (const br_replica_t *replica);
uint64_t br_replica_commit_index (const br_replica_t *replica);
uint64_t br_replica_applied_index (const br_replica_t *replica);
const br_replica_log_t *br_replica_log (const br_replica_t *replica);
const br_replica_snapshot_t *br_replica_snapshot (const br_replica_t *replica);

/* On the leader: how far VM has the log, as a voter or as a learner. */
typedef struct
{
  br_name_t vm;
  bool voter;
  uint64_t matched;
  br_ms_t last_seen_ms;
} br_replica_follower_t;

size_t br_replica_followers (const br_replica_t *replica,
                             br_replica_follower_t *followers,
                             size_t max);

BR_END_DECLS

#endif
