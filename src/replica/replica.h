/* One replica of a Raft-like log, as a state machine that does no I/O and
 * reads no clock.  Random timeouts come from the seed in its options.
 *
 * The caller passes in messages and the time, writes what
 * br_replica_take_writes() returns and confirms it with br_replica_persisted(),
 * sends the messages that br_replica_take_message() returns, and applies the
 * entries that br_replica_next_committed() returns. */
#ifndef BR_REPLICA_REPLICA_H
#define BR_REPLICA_REPLICA_H

#include "base/random.h"
#include "replica/contacts.h"
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
  bool voter; /* in the first configuration */
} br_replica_peer_t;

BR_VEC (br_replica_peers, br_replica_peer_t);

typedef struct
{
  br_name_t vm;
  uint64_t disk;        /* identity of this disk, or of this run without one */
  uint64_t incarnation; /* identity of this run */
  bool voter;           /* joins as a voter, not only as a learner */
  bool joins;           /* never a voter of the first configuration */
  bool founding;        /* a first voter on the disk with which its site started
                         * for the first time; a majority of them founds the log */
  br_replica_peers_t peers; /* copied; without peers it is the only voter */
  br_ms_t heartbeat_ms;
  br_ms_t election_min_ms; /* must be several heartbeats */
  br_ms_t election_max_ms;
  br_ms_t proposal_wait_ms; /* how long a proposal waits for a leader */
  br_ms_t proposal_max_ms; /* after this the outcome of a sent one is unknown */
  size_t append_max_bytes;
  size_t snapshot_chunk_bytes;
  br_ms_t remove_unreachable_ms; /* a voter without an answer for this long is
                                  * removed; 0: never */
  br_ms_t replace_silent_ms;     /* the same if a VM waits for its place */
  size_t voters_min;  /* removals of these kinds leave this many, so that a
                       * majority has more disks than may be lost */
  bool lease_is_used; /* br_replica_has_lease() decides what is done outside the
                       * log: no election begins before a lease is over */
  uint64_t seed;
} br_replica_options_t;

/* What was read from the disk.  br_replica_new() takes ownership. */
typedef struct
{
  br_hard_state_t hard_state;
  br_replica_snapshot_t snapshot; /* index 0: none */
  br_entries_t entries;           /* contiguous, after the snapshot */
} br_replica_saved_t;

/* SAVED may be NULL. */
br_replica_t *br_replica_new (const br_replica_options_t *options,
                              br_replica_saved_t *saved,
                              br_ms_t now);
void br_replica_free (br_replica_t *replica);

/* Handles MESSAGE and takes ownership of it. */
void br_replica_step (br_replica_t *replica,
                      br_ms_t now,
                      br_replica_message_t message);

/* Runs the timers that have expired.  It must be called at
 * br_replica_deadline(), and several times in each heartbeat_ms: a longer time
 * without a call is taken for a pause of this process. */
void br_replica_tick (br_replica_t *replica, br_ms_t now);
br_ms_t br_replica_deadline (const br_replica_t *replica);

/* Reports that the connection to VM was lost.  If VM is the leader, a pre-vote
 * starts within one heartbeat, or where the lease is used once that is over; it
 * fails while a majority still receives heartbeats from the leader.  A learner
 * sends join requests at once. */
void
br_replica_suspect (br_replica_t *replica, br_ms_t now, const br_name_t *vm);

/* Proposes COMMAND.  TICKET must be above all earlier ones.  The outcome is
 * reported by BR_REPLICA_EVENT_PROPOSAL. */
void br_replica_propose (br_replica_t *replica,
                         br_ms_t now,
                         uint64_t ticket,
                         br_str_t command);

/* Starts a linearizable read (read index).  BR_REPLICA_EVENT_READ follows once
 * this replica has applied every commit that was reported before this call. */
void br_replica_read (br_replica_t *replica, br_ms_t now, uint64_t ticket);

/* Sets whether the disk has space.  Without space a leader hands over, and
 * refuses proposals until then. */
void br_replica_set_has_space (br_replica_t *replica, bool has_space);

/* Sets whether the last write failed and is repeated.  Until it succeeds,
 * nothing is sent that depends on the write, and only a few entries are taken
 * from a leader, as they accumulate in memory.  Otherwise the replica goes on:
 * it applies what others have committed, and as a leader hands over. */
void br_replica_set_disk_refuses (br_replica_t *replica, bool refuses);

/* Returns whether the disk refuses and no more entries are taken, so that a
 * proposal or read could not be answered. */
bool br_replica_is_choked (const br_replica_t *replica);

/* Replaces the VMs of the settings.  While this replica knows no leader, it
 * sends join requests to them, to the members of its log, and to those that
 * other VMs named. */
void br_replica_set_seeds (br_replica_t *replica, const br_names_t *vms);

/* Replaces the option VOTERS_MIN. */
void br_replica_set_voters_min (br_replica_t *replica, size_t voters_min);

/* Adds a VM that another one named as a member of the log. */
void br_replica_add_contact (br_replica_t *replica,
                             br_ms_t now,
                             const br_name_t *vm);

/* Fills VMS with all VMs that this replica sends messages to. */
void br_replica_contacts (const br_replica_t *replica, br_names_t *vms);

/* --- changes of the configuration, on the leader --- */

/* Removes the vote of VM.  Returns whether the change was started: false when
 * this is not the leader, an earlier change is not committed yet, or VM is not
 * a voter or is the only one. */
bool br_replica_remove_voter (br_replica_t *replica,
                              br_ms_t now,
                              const br_name_t *vm);

/* Allows a VM that was removed to become a voter again.  Returns whether the
 * change was started. */
bool br_replica_allow_voter (br_replica_t *replica,
                             br_ms_t now,
                             const br_name_t *vm);

/* Starts a leadership transfer to the live voter with the highest match index.
 * Returns false when this is not the leader, a transfer is in progress, or no
 * other voter is live. */
bool br_replica_transfer (br_replica_t *replica, br_ms_t now);

/* This VM is about to stop.  Until it does, it asks the leader to take its vote
 * back, which the leader does if enough voters stay. */
void br_replica_leave (br_replica_t *replica);

/* --- persistence --- */

/* CHANGE is the number of changes that are persisted by this write.  When
 * SNAPSHOT is not NULL, it is written together with the hard state and all
 * entries of the log, and replaces everything older. */
typedef struct
{
  uint64_t change;
  bool has_hard_state;
  br_hard_state_t hard_state;
  uint64_t first; /* entries to write; none if LAST is below FIRST */
  uint64_t last;
  const br_replica_snapshot_t *snapshot;
} br_replica_writes_t;

bool br_replica_has_writes (const br_replica_t *replica);

/* Returns false when there is nothing to write.  It must not be called again
 * before br_replica_persisted(). */
bool br_replica_take_writes (br_replica_t *replica,
                             br_replica_writes_t *writes);
void br_replica_persisted (br_replica_t *replica, br_ms_t now, uint64_t change);

/* The commit index is saved with the next write.  This requests a write if none
 * is due. */
void br_replica_save_commit (br_replica_t *replica);

/* Returns the next message that may be sent now; the caller releases it. */
bool br_replica_take_message (br_replica_t *replica,
                              br_replica_message_t *message);

/* Reports that MESSAGE could not be sent.  A proposal or read in it waits for a
 * leader again, unless a copy of the proposal was sent before. */
void br_replica_send_failed (br_replica_t *replica,
                             const br_replica_message_t *message);

/* Queues one message to each follower for all proposals and commits since the
 * last call. */
void br_replica_flush (br_replica_t *replica);

/* --- applying --- */

/* Returns the next committed entry, or NULL.  It is valid until the next call
 * that changes the replica. */
const br_entry_t *br_replica_next_committed (const br_replica_t *replica);

/* Reports that the entry from br_replica_next_committed() was applied. */
void br_replica_applied (br_replica_t *replica, br_ms_t now);

/* Fills SNAPSHOT for the state at the applied index; the caller releases it or
 * passes it to br_replica_compact(). */
void br_replica_make_snapshot (const br_replica_t *replica,
                               br_str_t state,
                               br_replica_snapshot_t *snapshot);

/* Takes ownership of SNAPSHOT, which must be on disk together with the entries
 * after it, and drops the entries that it covers. */
void br_replica_compact (br_replica_t *replica,
                         br_replica_snapshot_t *snapshot);

/* Completes every pending proposal and read before this replica stops: a
 * proposal that was sent as unknown, everything else as refused. */
void br_replica_abandon (br_replica_t *replica);

typedef enum
{
  BR_REPLICA_EVENT_PROPOSAL,
  BR_REPLICA_EVENT_READ,
  BR_REPLICA_EVENT_SNAPSHOT, /* restore the state from br_replica_snapshot() */
  BR_REPLICA_EVENT_ROLE,
  BR_REPLICA_EVENT_CONFIG,
  BR_REPLICA_EVENT_QUORUM_LOST, /* this leader steps down */
} br_replica_event_kind_t;

typedef enum
{
  BR_OUTCOME_COMMITTED,
  BR_OUTCOME_REFUSED, /* not in the log and never will be */
  BR_OUTCOME_UNKNOWN,
} br_outcome_t;

typedef struct
{
  br_replica_event_kind_t kind;
  uint64_t ticket;
  br_outcome_t outcome;
  bool no_space; /* refused because the leader's disk is full */
  uint64_t index;
  br_ms_t silent_ms;   /* age of the latest message that a quorum answered */
  br_ms_t answered_ms; /* since the latest answer of a voter */
  br_ms_t pause_ms;    /* length of the last pause of this process */
  br_ms_t resumed_ms;  /* since the end of that pause */
} br_replica_event_t;

bool br_replica_take_event (br_replica_t *replica, br_replica_event_t *event);

/* --- accessors --- */

/* What stands between this VM and its part in the log, by the answers to its
 * join requests.  A voter that has known no leader for long has none.  With
 * CONFLICTS the log was rescued elsewhere; this VM has no vote and must be
 * emptied.
 * X (id, text) */
#define BR_REPLICA_STANDING_TABLE(X)                                           \
  X (VOTER, "it is a voter")                                                   \
  X (CONFLICTS, "its log holds committed entries that the leader's log lacks") \
  X (FOLLOWS, "it follows the leader, which has not given it a vote")          \
  X (LEADER_SILENT, "the leader that others named has not answered")           \
  X (NO_LEADER, "the control VMs that answered know no leader")                \
  X (NO_LOG, "the control VMs that answered know no log")                      \
  X (UNANSWERED, "no control VM has answered its join requests")

typedef enum
{
#define X(id, text) BR_STANDING_##id,
  BR_REPLICA_STANDING_TABLE (X)
#undef X
} br_replica_standing_t;

/* Returns whether this VM is a voter by its own log, or by the first voters
 * while the log is empty. */
bool br_replica_is_voter (const br_replica_t *replica);
br_replica_standing_t br_replica_standing (const br_replica_t *replica);
const char *br_replica_standing_text (br_replica_standing_t standing);

/* Returns the leader, or the one that others named last, or an empty name. */
const br_name_t *br_replica_named_leader (const br_replica_t *replica);

br_replica_role_t br_replica_role (const br_replica_t *replica);
const char *br_replica_role_name (br_replica_role_t role);
uint64_t br_replica_term (const br_replica_t *replica);

/* Returns whether this replica leads and no other one can at NOW: a quorum has
 * answered what was sent in the last election_min_ms, and no transfer is in
 * progress.  A leader that lost the lease keeps its role for a while, sends
 * heartbeats, and has the lease again once they are answered.  Until then it
 * must not act as leader outside the log. */
bool br_replica_has_lease (const br_replica_t *replica, br_ms_t now);
const br_hard_state_t *br_replica_hard_state (const br_replica_t *replica);

/* Returns an empty name when no leader is known. */
const br_name_t *br_replica_leader (const br_replica_t *replica);
uint64_t br_replica_commit_index (const br_replica_t *replica);
uint64_t br_replica_applied_index (const br_replica_t *replica);
const br_replica_log_t *br_replica_log (const br_replica_t *replica);
const br_replica_snapshot_t *br_replica_snapshot (const br_replica_t *replica);

/* The progress of a voter or learner, as the leader tracks it. */
typedef struct
{
  br_name_t vm;
  bool voter;
  uint64_t matched;     /* match index */
  br_ms_t last_seen_ms; /* send time of what it answered last; until it answers
                         * this leader, when its silence began */
} br_replica_follower_t;

BR_VEC (br_replica_followers, br_replica_follower_t);

size_t br_replica_followers (const br_replica_t *replica,
                             br_replica_follower_t *followers,
                             size_t max);

/* Returns false when MEMBER is not a follower of this leader. */
bool br_replica_follower (const br_replica_t *replica,
                          const br_config_member_t *member,
                          br_replica_follower_t *follower);

BR_END_DECLS

#endif
