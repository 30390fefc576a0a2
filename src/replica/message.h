/* Messages between replicas, and the entries of their log. */
#ifndef BR_REPLICA_MESSAGE_H
#define BR_REPLICA_MESSAGE_H

#include "base/clock.h"
#include "replica/config.h"

BR_BEGIN_DECLS

/* X (id, name) */
#define BR_ENTRY_TABLE(X)                                                      \
  X (NOOP, "noop")                                                             \
  X (COMMAND, "command")                                                       \
  X (CONFIG, "config")

typedef enum
{
#define X(id, name) BR_ENTRY_##id,
  BR_ENTRY_TABLE (X)
#undef X
      BR_ENTRY_COUNT
} br_entry_kind_t;

/* The origin of a command.  Tickets of one incarnation increase strictly. */
typedef struct
{
  br_name_t vm;
  uint64_t incarnation;
  uint64_t ticket;
} br_proposer_t;

typedef struct
{
  uint64_t index;
  uint64_t term;
  br_entry_kind_t kind;
  br_proposer_t proposer; /* of a command only */
  br_buf_t data;          /* owned */
} br_entry_t;

BR_VEC (br_entries, br_entry_t);

void br_entry_release (br_entry_t *entry);
br_entry_t br_entry_copy (const br_entry_t *entry);
void br_entries_release (br_entries_t *entries);
bool br_proposer_equal (const br_proposer_t *a, const br_proposer_t *b);

/* X (id, name) */
#define BR_REPLICA_MESSAGE_TABLE(X)                                            \
  X (VOTE_REQUEST, "vote request")                                             \
  X (VOTE_ANSWER, "vote answer")                                               \
  X (APPEND, "append")                                                         \
  X (APPEND_ANSWER, "append answer")                                           \
  X (SNAPSHOT, "snapshot")                                                     \
  X (SNAPSHOT_ANSWER, "snapshot answer")                                       \
  X (TIMEOUT_NOW, "timeout now")                                               \
  X (JOIN, "join")                                                             \
  X (BOOTSTRAP, "bootstrap")                                                   \
  X (BOOTSTRAP_ANSWER, "bootstrap answer")                                     \
  X (READ, "read")                                                             \
  X (READ_ANSWER, "read answer")                                               \
  X (PROPOSE, "propose")                                                       \
  X (PROPOSE_ANSWER, "propose answer")                                         \
  X (JOIN_ANSWER, "join answer")

typedef enum
{
#define X(id, name) BR_REPLICA_##id,
  BR_REPLICA_MESSAGE_TABLE (X)
#undef X
      BR_REPLICA_MESSAGE_COUNT
} br_replica_message_kind_t;

typedef struct
{
  uint64_t last_index;
  uint64_t last_term;
  bool pre_vote;
  bool transfer; /* part of a leadership transfer */
} br_vote_request_t;

typedef struct
{
  bool pre_vote;
  bool granted;
} br_vote_answer_t;

/* A voter that has not answered the leader for FOR_MS. */
typedef struct
{
  br_name_t vm;
  uint64_t disk;
  br_ms_t for_ms;
} br_silent_voter_t;

BR_VEC (br_silent_voters, br_silent_voter_t);

/* SENT_MS is the leader's time and is returned in the answer.  A leader that
 * was frozen can thus distinguish old answers from new ones. */
typedef struct
{
  uint64_t prev_index;
  uint64_t prev_term;
  uint64_t commit;
  uint64_t round;
  br_ms_t sent_ms;
  br_entries_t entries;      /* owned */
  br_silent_voters_t silent; /* owned */
} br_append_t;

typedef struct
{
  bool ok;
  uint64_t index; /* match index if OK, otherwise the next index to try */
  uint64_t round;
  br_ms_t sent_ms;
} br_append_answer_t;

typedef struct
{
  uint64_t last_index;
  uint64_t last_term;
  br_config_t config; /* owned */
  uint64_t offset;
  uint64_t total;
  uint64_t round;
  br_ms_t sent_ms;
  br_buf_t data; /* owned */
} br_snapshot_chunk_t;

typedef struct
{
  uint64_t last_index;
  uint64_t offset; /* bytes received so far */
  uint64_t round;
  br_ms_t sent_ms;
} br_snapshot_answer_t;

typedef struct
{
  bool voter_requested;
} br_join_t;

/* Answer of a VM that does not lead: what it knows of the log. */
typedef struct
{
  br_name_t leader;   /* empty: it knows none */
  br_config_t config; /* owned; no members: it knows no log */
} br_join_answer_t;

typedef struct
{
  uint64_t voters_digest; /* of the names of the first voters */
} br_bootstrap_t;

typedef struct
{
  bool empty;  /* the disk holds no log and no term */
  bool agrees; /* its digest of the first voters is the same */
} br_bootstrap_answer_t;

typedef struct
{
  uint64_t ticket;
  uint64_t incarnation; /* of the sender */
} br_read_t;

typedef struct
{
  uint64_t ticket;
  uint64_t incarnation; /* of the VM that sent the read */
  uint64_t index;
} br_read_answer_t;

/* Only the leader of the message's term may append it. */
typedef struct
{
  br_proposer_t proposer;
  br_buf_t data; /* owned */
} br_propose_t;

typedef struct
{
  uint64_t ticket;
  uint64_t incarnation; /* of the proposer */
  bool accepted;        /* if false, it was not and will not be appended */
  bool no_space;
  uint64_t index;
} br_propose_answer_t;

typedef struct
{
  br_replica_message_kind_t kind;
  br_name_t vm;     /* the receiver in an outbox, otherwise the sender */
  uint64_t disk;    /* of the sender */
  uint64_t to_disk; /* of the receiver; other disks ignore it; 0: any */
  uint64_t term;
  uint64_t after; /* may be sent once this change is persisted */
  union
  {
    br_vote_request_t vote_request;
    br_vote_answer_t vote_answer;
    br_append_t append;
    br_append_answer_t append_answer;
    br_snapshot_chunk_t snapshot;
    br_snapshot_answer_t snapshot_answer;
    br_join_t join;
    br_join_answer_t join_answer;
    br_bootstrap_t bootstrap;
    br_bootstrap_answer_t bootstrap_answer;
    br_read_t read;
    br_read_answer_t read_answer;
    br_propose_t propose;
    br_propose_answer_t propose_answer;
  };
} br_replica_message_t;

BR_VEC (br_replica_messages, br_replica_message_t);

const char *br_replica_message_name (br_replica_message_kind_t kind);
void br_replica_message_release (br_replica_message_t *message);
void br_replica_messages_release (br_replica_messages_t *messages);

/* Returns a deep copy. */
br_replica_message_t
br_replica_message_copy (const br_replica_message_t *message);

BR_END_DECLS

#endif
