/* Internal state and functions of a replica, shared by the files of this folder
 * and by the model checker in tests/. */
#ifndef BR_REPLICA_PRIVATE_H
#define BR_REPLICA_PRIVATE_H

#include "replica/replica.h"

BR_BEGIN_DECLS

/* Progress of one follower on the leader, or the vote of one voter on a
 * candidate. */
typedef struct
{
  br_name_t vm;
  uint64_t disk;
  bool voter_requested; /* its join request is for a vote */
  br_ms_t leaves_ms;    /* when it last asked to give its vote back; 0: never */
  bool granted;         /* its vote */
  uint64_t next;
  uint64_t match;
  uint64_t round;       /* latest round that it answered */
  br_ms_t last_seen_ms; /* send time of the latest message that it answered */
  br_ms_t answered_ms;  /* when its latest answer came */
  br_ms_t paused_ms;    /* of the replica, before that message */
  br_ms_t since_ms; /* when it was added, or when its silence began if it was
                     * silent under the last leader */
  uint64_t join_number;    /* number of followers added before it */
  uint64_t reset_round;    /* first round after NEXT was last decreased */
  uint64_t snapshot_index; /* of the snapshot being sent; 0: none */
  uint64_t snapshot_offset;
  br_ms_t snapshot_sent_ms;
} br_progress_t;

BR_VEC (br_progresses, br_progress_t);

typedef enum
{
  BR_PENDING_WAITING, /* for a leader; not sent yet, or refused by one */
  BR_PENDING_SENT,
} br_pending_state_t;

/* A proposal or read of this VM that has no outcome yet. */
typedef struct
{
  uint64_t ticket;
  bool is_read;
  br_pending_state_t state;
  uint64_t term;  /* of the leader that it was sent to */
  uint64_t index; /* read index of a read; 0 while unknown */
  br_ms_t since_ms;
  br_ms_t resend_ms; /* when it is sent again to the same leader */
  br_ms_t resend_after_ms;
  bool resent;      /* an earlier copy may have reached that leader */
  br_buf_t command; /* owned */
} br_pending_t;

BR_VEC (br_pendings, br_pending_t);

/* A read on the leader that waits until a quorum has answered ROUND. */
typedef struct
{
  br_name_t vm; /* sender of the read */
  uint64_t ticket;
  uint64_t incarnation; /* of the sender */
  uint64_t index;
  uint64_t round;
} br_quorum_read_t;

BR_VEC (br_quorum_reads, br_quorum_read_t);

/* A voter that did not answer the leader since SINCE_MS, as the leader said. */
typedef struct
{
  br_name_t vm;
  uint64_t disk;
  br_ms_t since_ms;
} br_silence_t;

BR_VEC (br_silences, br_silence_t);

/* The highest ticket of one incarnation that this leader has received. */
typedef struct
{
  br_name_t vm;
  uint64_t incarnation;
  uint64_t ticket;
} br_ticket_t;

BR_VEC (br_tickets, br_ticket_t);
BR_VEC (br_replica_events, br_replica_event_t);

struct br_replica
{
  br_replica_options_t options; /* owns its peers */
  br_random_t random;
  br_ms_t now;
  br_ms_t pause_ms;   /* length of the last pause of this process */
  br_ms_t resumed_ms; /* when that pause ended */
  br_ms_t paused_ms;  /* length of all pauses */

  /* Persistent state. */
  br_hard_state_t hard_state;
  br_replica_log_t log;
  br_replica_snapshot_t snapshot;

  /* Progress of writing. */
  uint64_t change;      /* number of changes to the persistent state */
  uint64_t hard_change; /* the last change of the hard state */
  uint64_t persisted_change;
  uint64_t written;   /* entries up to here were returned for writing */
  uint64_t persisted; /* entries up to here are on disk */
  uint64_t writing;   /* entries up to here are being written */
  bool write_hard_state;
  bool write_snapshot;
  bool has_space;
  bool disk_refuses;       /* the last write failed */
  br_ms_t hand_over_at_ms; /* earliest next time because of the disk */

  /* All roles. */
  br_replica_role_t role;
  br_name_t leader;
  uint64_t commit;
  uint64_t applied;
  br_ms_t leader_last_seen_ms;
  br_ms_t election_at_ms;
  br_ms_t join_at_ms;
  br_name_t last_leader;  /* that sent LEADER_LAST_SEEN_MS, or empty */
  br_ms_t grown_ms;       /* when a VM last got a vote; 0: not known */
  br_silences_t silences; /* that the last leader knew; empty while leading */
  bool leaves;            /* it is about to stop */
  br_contacts_t contacts;
  br_ms_t join_answered_ms; /* last answer to a join request; 0: none */
  br_ms_t log_named_ms;     /* last one that named members */
  br_ms_t leader_named_ms;  /* last one that named a leader */
  br_name_t named_leader;   /* in that one */
  bool in_transfer_election;
  bool conflicts; /* the leader's log lacks committed entries of this one */
  br_replica_messages_t outbox;
  size_t outbox_head;
  br_replica_events_t events;
  size_t events_head;
  br_pendings_t pendings;
  br_replica_snapshot_t incoming; /* being received in chunks */

  /* Candidate and leader. */
  br_progresses_t progresses;

  /* Leader. */
  uint64_t round;
  br_ms_t heartbeat_at_ms;
  br_ms_t leads_since_ms;
  uint64_t join_count; /* followers added so far */
  uint64_t noop_index; /* of the no-op entry of its term */
  bool has_updates;    /* entries, a commit index or a read to broadcast */
  br_quorum_reads_t quorum_reads;
  br_tickets_t tickets;
  br_name_t transfer_to;
  br_ms_t transfer_until_ms;

  /* Bootstrap, before the first configuration. */
  br_name_t bootstrap_vm; /* sender of the last bootstrap request */
  uint64_t bootstrap_disk;
  br_config_members_t empty_voters; /* that answered this VM's requests */
  br_config_t founding; /* first voters that may elect a leader while the log is
                         * empty, those not reached yet with disk 0; owned */
  br_ms_t started_ms;
  br_ms_t founding_disputed_ms; /* last answer of a first voter whose settings
                                 * name others; 0: none */
};

/* replica.c */

/* Returns whether the disk lets this replica take proposals as the leader. */
bool br_replica_takes_proposals (const br_replica_t *replica);

/* Removes from MESSAGE what a replica whose disk refuses does not take. Returns
 * false if nothing remains. */
bool br_replica_reduce (const br_replica_t *replica,
                        br_replica_message_t *message);

/* Advances the time.  A pause of this process does not count as silence of the
 * leader. */
void br_replica_advance (br_replica_t *replica, br_ms_t now);
void br_replica_send (br_replica_t *replica,
                      const br_name_t *to,
                      br_replica_message_t message,
                      uint64_t after);
void br_replica_event (br_replica_t *replica, br_replica_event_t event);
void br_replica_set_role (br_replica_t *replica, br_replica_role_t role);
void br_replica_set_hard_state (br_replica_t *replica,
                                uint64_t term,
                                const br_name_t *vote);
void br_replica_become_follower (br_replica_t *replica,
                                 uint64_t term,
                                 const br_name_t *leader);
void br_replica_reset_election (br_replica_t *replica);
const br_config_t *br_replica_config (const br_replica_t *replica);
void br_replica_set_conflicts (br_replica_t *replica, bool conflicts);
br_progress_t *
br_replica_progress (br_replica_t *replica, const br_name_t *vm, uint64_t disk);
br_progress_t *br_replica_add_progress (br_replica_t *replica,
                                        const br_name_t *vm,
                                        uint64_t disk);
void br_replica_append_entry (br_replica_t *replica, br_entry_t entry);
void br_replica_truncate (br_replica_t *replica, uint64_t index);
void br_replica_set_commit (br_replica_t *replica, uint64_t commit);

/* election.c */
void br_replica_campaign (br_replica_t *replica, bool pre_vote, bool transfer);
void br_replica_on_vote_request (br_replica_t *replica,
                                 const br_replica_message_t *message);
void br_replica_on_vote_answer (br_replica_t *replica,
                                const br_replica_message_t *message);
void br_replica_on_timeout_now (br_replica_t *replica,
                                const br_replica_message_t *message);

/* leader.c */
void br_replica_lead (br_replica_t *replica);
void br_replica_tick_leader (br_replica_t *replica);

/* Returns whether this leader has waited in vain for answers of a quorum.  Up
 * to one election timeout of its own pauses does not count. */
bool br_replica_quorum_is_lost (const br_replica_t *replica);

/* Steps down, as no quorum has answered in time. */
void br_replica_leave_quorum (br_replica_t *replica);
void br_replica_broadcast (br_replica_t *replica);
void br_replica_advance_commit (br_replica_t *replica);
void br_replica_on_append_answer (br_replica_t *replica,
                                  const br_replica_message_t *message);
void br_replica_on_snapshot_answer (br_replica_t *replica,
                                    const br_replica_message_t *message);
bool br_replica_lead_append (br_replica_t *replica,
                             br_entry_kind_t kind,
                             const br_proposer_t *proposer,
                             br_str_t data);

/* Keeps the silences that this leader knows for the time after it. */
void br_replica_keep_silences (br_replica_t *replica);
br_ms_t br_replica_silent_ms (const br_replica_t *replica,
                              const br_progress_t *progress);

/* replicate.c */
void br_replica_replicate (br_replica_t *replica,
                           br_progress_t *progress,
                           bool heartbeat);

/* follower.c */
void br_replica_on_append (br_replica_t *replica,
                           br_replica_message_t *message);
void br_replica_on_snapshot (br_replica_t *replica,
                             br_replica_message_t *message);

/* founding.c */

/* Asks the other first voters while this VM is one and its log is empty. */
void br_replica_tick_founding (br_replica_t *replica);

/* Appends the first configuration on the leader of the first election. */
void br_replica_found (br_replica_t *replica);

/* Returns whether this replica is empty and MESSAGE comes from the VM that sent
 * the last bootstrap request, but from another disk.  An empty voter ignores
 * such a message. */
bool br_replica_bootstrap_is_stale (const br_replica_t *replica,
                                    const br_replica_message_t *message);
void br_replica_on_bootstrap (br_replica_t *replica,
                              const br_replica_message_t *message);
void br_replica_on_bootstrap_answer (br_replica_t *replica,
                                     const br_replica_message_t *message);

/* membership.c */
void br_replica_tick_join (br_replica_t *replica);
void br_replica_tick_membership (br_replica_t *replica);
void br_replica_on_join (br_replica_t *replica,
                         const br_replica_message_t *message);
void br_replica_on_join_answer (br_replica_t *replica,
                                const br_replica_message_t *message);

/* Returns whether a voter may be removed.  VOTERS_MIN voters must stay, so that
 * each majority holds more disks than may be lost. */
bool br_replica_can_remove (const br_replica_t *replica,
                            const br_config_t *config);

/* leave.c */

/* Asks the leader to take the vote of this VM back. */
void br_replica_send_leave (br_replica_t *replica);

/* Returns whether the VM of PROGRESS has asked for that and is about to stop.
 */
bool br_replica_is_leaving (const br_replica_t *replica,
                            const br_progress_t *progress);

/* Removes the vote of a VM that is about to stop; returns whether CONFIG was
 * changed. */
bool br_replica_remove_leaving (const br_replica_t *replica,
                                br_config_t *config);

/* proposal.c */
void br_replica_tick_proposals (br_replica_t *replica);
void br_replica_send_pending (br_replica_t *replica);
void br_replica_complete_applied (br_replica_t *replica,
                                  const br_entry_t *entry);
void br_replica_complete_snapshot (br_replica_t *replica);
void br_replica_complete_reads (br_replica_t *replica);
void br_replica_confirm_reads (br_replica_t *replica);
void br_replica_drop_reads (br_replica_t *replica);
void br_replica_on_propose (br_replica_t *replica,
                            const br_replica_message_t *message);
void br_replica_on_propose_answer (br_replica_t *replica,
                                   const br_replica_message_t *message);
void br_replica_on_read (br_replica_t *replica,
                         const br_replica_message_t *message);
void br_replica_on_read_answer (br_replica_t *replica,
                                const br_replica_message_t *message);

BR_END_DECLS

#endif
