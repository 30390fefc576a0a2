#include "replica/wire.h"

#include "replica/wire_private.h"

/* Maximum members of a packed configuration. */
#define MEMBERS_MAX 64

static bool
wire_fail (br_error_t *err, const char *peer, const char *what)
{
  return br_error_set (err, BR_ERROR_PROTOCOL, "read replica message", peer,
                       "%s", what);
}

ProtobufCBinaryData
br_wire_bytes (br_str_t str)
{
  return (ProtobufCBinaryData){ str.len, (uint8_t *)str.data };
}

br_buf_t
br_wire_buf (ProtobufCBinaryData data)
{
  br_buf_t buf = { 0 };

  br_buf_append (&buf, br_str_make ((const char *)data.data, data.len));
  return buf;
}

void
br_wire_append (br_buf_t *out, const ProtobufCMessage *message)
{
  size_t len = protobuf_c_message_get_packed_size (message);

  br_buf_reserve (out, len);
  protobuf_c_message_pack (message, (uint8_t *)out->data + out->len);
  out->len += len;
  out->data[out->len] = '\0';
}

/* --- configurations --- */

Br__Replica__Config *
br_config_to_wire (const br_config_t *config)
{
  Br__Replica__Config *wire = br_alloc (sizeof *wire);
  size_t n = config->members.len;

  br__replica__config__init (wire);
  wire->members = br_alloc_zero (n * sizeof (void *));
  for (size_t i = 0; i < n; i++)
    {
      const br_config_member_t *member = &config->members.items[i];
      Br__Replica__Member *to = br_alloc (sizeof *to);

      br__replica__member__init (to);
      to->vm = (char *)member->vm.data;
      to->disk = member->disk;
      to->voter = member->voter;
      wire->members[wire->n_members++] = to;
    }
  return wire;
}

void
br_config_free_wire (Br__Replica__Config *wire)
{
  for (size_t i = 0; i < wire->n_members; i++)
    free (wire->members[i]);
  free (wire->members);
  free (wire);
}

bool
br_config_from_wire (const Br__Replica__Config *wire, br_config_t *config)
{
  if (wire->n_members > MEMBERS_MAX)
    return false;
  for (size_t i = 0; i < wire->n_members; i++)
    {
      const Br__Replica__Member *from = wire->members[i];
      br_config_member_t member = { .disk = from->disk, .voter = from->voter };

      if (!br_name_set (&member.vm, br_str_from (from->vm))
          || member.vm.len == 0)
        return false;
      br_config_put (config, member);
    }
  return true;
}

void
br_replica_pack_config (const br_config_t *config, br_buf_t *out)
{
  Br__Replica__Config *wire = br_config_to_wire (config);

  br_wire_append (out, &wire->base);
  br_config_free_wire (wire);
}

bool
br_replica_unpack_config (br_str_t data, br_config_t *config, br_error_t *err)
{
  Br__Replica__Config *wire = br__replica__config__unpack (
      NULL, data.len, (const uint8_t *)data.data);
  bool ok;

  *config = (br_config_t){ 0 };
  if (wire == NULL)
    return wire_fail (err, "", "the configuration does not parse");
  ok = br_config_from_wire (wire, config);
  br__replica__config__free_unpacked (wire, NULL);
  if (ok)
    return true;
  br_config_release (config);
  return wire_fail (
      err, "", "the configuration has too many members or a bad member name");
}

/* --- entries --- */

static void
proposer_to_wire (const br_proposer_t *proposer, Br__Replica__Proposer *wire)
{
  br__replica__proposer__init (wire);
  wire->vm = (char *)proposer->vm.data;
  wire->incarnation = proposer->incarnation;
  wire->ticket = proposer->ticket;
}

static bool
proposer_from_wire (const Br__Replica__Proposer *wire, br_proposer_t *proposer)
{
  proposer->incarnation = wire->incarnation;
  proposer->ticket = wire->ticket;
  return br_name_set (&proposer->vm, br_str_from (wire->vm));
}

void
br_entry_to_wire (const br_entry_t *entry,
                  Br__Replica__Entry *wire,
                  Br__Replica__Proposer *proposer)
{
  br__replica__entry__init (wire);
  wire->index = entry->index;
  wire->term = entry->term;
  wire->kind = entry->kind;
  wire->data = br_wire_bytes (br_buf_str (&entry->data));
  if (entry->kind != BR_ENTRY_COMMAND)
    return;
  proposer_to_wire (&entry->proposer, proposer);
  wire->proposer = proposer;
}

static bool
entry_config_is_valid (const Br__Replica__Entry *wire)
{
  br_config_t config;
  br_str_t data = br_str_make ((const char *)wire->data.data, wire->data.len);

  if (!br_config_parse (data, &config, NULL))
    return false;
  br_config_release (&config);
  return true;
}

bool
br_entry_from_wire (const Br__Replica__Entry *wire, br_entry_t *entry)
{
  *entry = (br_entry_t){ .index = wire->index, .term = wire->term };
  if (wire->kind >= BR_ENTRY_COUNT || wire->index == 0)
    return false;
  entry->kind = (br_entry_kind_t)wire->kind;
  if (entry->kind == BR_ENTRY_COMMAND
      && (wire->proposer == NULL
          || !proposer_from_wire (wire->proposer, &entry->proposer)))
    return false;
  if (entry->kind == BR_ENTRY_CONFIG && !entry_config_is_valid (wire))
    return false;
  entry->data = br_wire_buf (wire->data);
  return true;
}

/* --- messages --- */

/* Terms, indexes and rounds from a peer must be below this. */
#define NUMBER_MAX (UINT64_C (1) << 62)

/* Buffers that a message points to while it is packed. */
typedef struct
{
  Br__Replica__Entry *entries;
  Br__Replica__Entry **pointers;
  Br__Replica__Proposer *proposers;
  Br__Replica__Proposer proposer;
  Br__Replica__Config *config;
  Br__Replica__Silent silent[BR_VOTERS_MAX];
  Br__Replica__Silent *silent_pointers[BR_VOTERS_MAX];
} scratch_t;

static void
silent_to_wire (const br_silent_voters_t *silent,
                Br__Replica__Message *wire,
                scratch_t *scratch)
{
  size_t n = BR_MIN (silent->len, (size_t)BR_VOTERS_MAX);

  for (size_t i = 0; i < n; i++)
    {
      const br_silent_voter_t *voter = &silent->items[i];
      Br__Replica__Silent *to = &scratch->silent[i];

      br__replica__silent__init (to);
      to->vm = (char *)voter->vm.data;
      to->disk = voter->disk;
      to->for_ms = voter->for_ms;
      scratch->silent_pointers[i] = to;
    }
  wire->silent = scratch->silent_pointers;
  wire->n_silent = n;
}

static void
append_to_wire (const br_append_t *append,
                Br__Replica__Message *wire,
                scratch_t *scratch)
{
  size_t n = append->entries.len;

  wire->index = append->prev_index;
  wire->log_term = append->prev_term;
  wire->commit = append->commit;
  wire->round = append->round;
  wire->sent_ms = append->sent_ms;
  silent_to_wire (&append->silent, wire, scratch);
  if (n == 0)
    return;
  scratch->entries = br_alloc (n * sizeof *scratch->entries);
  scratch->pointers = br_alloc (n * sizeof (void *));
  scratch->proposers = br_alloc (n * sizeof *scratch->proposers);
  for (size_t i = 0; i < n; i++)
    {
      br_entry_to_wire (&append->entries.items[i], &scratch->entries[i],
                        &scratch->proposers[i]);
      scratch->pointers[i] = &scratch->entries[i];
    }
  wire->entries = scratch->pointers;
  wire->n_entries = n;
}

static void
snapshot_to_wire (const br_snapshot_chunk_t *snapshot,
                  Br__Replica__Message *wire,
                  scratch_t *scratch)
{
  wire->index = snapshot->last_index;
  wire->log_term = snapshot->last_term;
  wire->offset = snapshot->offset;
  wire->total = snapshot->total;
  wire->round = snapshot->round;
  wire->sent_ms = snapshot->sent_ms;
  wire->data = br_wire_bytes (br_buf_str (&snapshot->data));
  scratch->config = br_config_to_wire (&snapshot->config);
  wire->config = scratch->config;
}

static void
message_to_wire (const br_replica_message_t *message,
                 Br__Replica__Message *wire,
                 scratch_t *scratch)
{
  switch (message->kind)
    {
    case BR_REPLICA_VOTE_REQUEST:
      wire->index = message->vote_request.last_index;
      wire->log_term = message->vote_request.last_term;
      wire->first_flag = message->vote_request.pre_vote;
      wire->second_flag = message->vote_request.transfer;
      break;
    case BR_REPLICA_VOTE_ANSWER:
      wire->first_flag = message->vote_answer.pre_vote;
      wire->second_flag = message->vote_answer.granted;
      break;
    case BR_REPLICA_APPEND:
      append_to_wire (&message->append, wire, scratch);
      break;
    case BR_REPLICA_APPEND_ANSWER:
      wire->first_flag = message->append_answer.ok;
      wire->index = message->append_answer.index;
      wire->round = message->append_answer.round;
      wire->sent_ms = message->append_answer.sent_ms;
      break;
    case BR_REPLICA_SNAPSHOT:
      snapshot_to_wire (&message->snapshot, wire, scratch);
      break;
    case BR_REPLICA_SNAPSHOT_ANSWER:
      wire->index = message->snapshot_answer.last_index;
      wire->offset = message->snapshot_answer.offset;
      wire->round = message->snapshot_answer.round;
      wire->sent_ms = message->snapshot_answer.sent_ms;
      break;
    case BR_REPLICA_JOIN:
      wire->first_flag = message->join.voter_requested;
      break;
    case BR_REPLICA_BOOTSTRAP:
      wire->round = message->bootstrap.voters_digest;
      break;
    case BR_REPLICA_BOOTSTRAP_ANSWER:
      wire->first_flag = message->bootstrap_answer.empty;
      wire->second_flag = message->bootstrap_answer.agrees;
      break;
    case BR_REPLICA_READ:
      wire->round = message->read.ticket;
      wire->incarnation = message->read.incarnation;
      break;
    case BR_REPLICA_READ_ANSWER:
      wire->round = message->read_answer.ticket;
      wire->incarnation = message->read_answer.incarnation;
      wire->index = message->read_answer.index;
      break;
    case BR_REPLICA_PROPOSE:
      proposer_to_wire (&message->propose.proposer, &scratch->proposer);
      wire->proposer = &scratch->proposer;
      wire->data = br_wire_bytes (br_buf_str (&message->propose.data));
      break;
    case BR_REPLICA_PROPOSE_ANSWER:
      wire->round = message->propose_answer.ticket;
      wire->incarnation = message->propose_answer.incarnation;
      wire->first_flag = message->propose_answer.accepted;
      wire->second_flag = message->propose_answer.no_space;
      wire->index = message->propose_answer.index;
      break;
    case BR_REPLICA_JOIN_ANSWER:
      wire->leader = (char *)message->join_answer.leader.data;
      scratch->config = br_config_to_wire (&message->join_answer.config);
      wire->config = scratch->config;
      break;
    case BR_REPLICA_TIMEOUT_NOW:
    case BR_REPLICA_MESSAGE_COUNT:
      break;
    }
}

void
br_replica_pack (const br_replica_message_t *message, br_buf_t *out)
{
  Br__Replica__Message wire;
  scratch_t scratch = { 0 };

  br__replica__message__init (&wire);
  wire.kind = message->kind;
  wire.term = message->term;
  wire.disk = message->disk;
  wire.to_disk = message->to_disk;
  message_to_wire (message, &wire, &scratch);
  br_wire_append (out, &wire.base);
  free (scratch.entries);
  free (scratch.pointers);
  free (scratch.proposers);
  if (scratch.config != NULL)
    br_config_free_wire (scratch.config);
}

static bool
silent_from_wire (const Br__Replica__Message *wire, br_silent_voters_t *silent)
{
  if (wire->n_silent > BR_VOTERS_MAX)
    return false;
  for (size_t i = 0; i < wire->n_silent; i++)
    {
      const Br__Replica__Silent *from = wire->silent[i];
      br_silent_voter_t voter = { .disk = from->disk, .for_ms = from->for_ms };

      if (!br_name_set (&voter.vm, br_str_from (from->vm)) || from->for_ms < 0
          || from->for_ms > (INT64_MAX >> 1))
        return false;
      br_silent_voters_push (silent, voter);
    }
  return true;
}

static bool
append_from_wire (const Br__Replica__Message *wire, br_append_t *append)
{
  *append = (br_append_t){
    .prev_index = wire->index,
    .prev_term = wire->log_term,
    .commit = wire->commit,
    .round = wire->round,
    .sent_ms = wire->sent_ms,
  };
  if (wire->n_entries > BR_APPEND_ENTRIES_MAX
      || !silent_from_wire (wire, &append->silent))
    return false;
  for (size_t i = 0; i < wire->n_entries; i++)
    {
      br_entry_t entry;

      if (!br_entry_from_wire (wire->entries[i], &entry))
        return false;
      br_entries_push (&append->entries, entry);
      if (entry.index != wire->index + 1 + i || entry.term > wire->term)
        return false;
    }
  return true;
}

static bool
snapshot_from_wire (const Br__Replica__Message *wire,
                    br_snapshot_chunk_t *snapshot)
{
  *snapshot = (br_snapshot_chunk_t){
    .last_index = wire->index,
    .last_term = wire->log_term,
    .offset = wire->offset,
    .total = wire->total,
    .round = wire->round,
    .sent_ms = wire->sent_ms,
  };
  if (wire->config == NULL
      || !br_config_from_wire (wire->config, &snapshot->config))
    return false;
  snapshot->data = br_wire_buf (wire->data);
  return wire->offset <= wire->total
         && wire->data.len <= wire->total - wire->offset;
}

static bool
join_answer_from_wire (const Br__Replica__Message *wire,
                       br_join_answer_t *answer)
{
  *answer = (br_join_answer_t){ 0 };
  return wire->config != NULL
         && br_name_set (&answer->leader, br_str_from (wire->leader))
         && br_config_from_wire (wire->config, &answer->config);
}

/* Returns whether all numbers are below NUMBER_MAX, so that their sums cannot
 * overflow. */
static bool
message_is_bounded (const Br__Replica__Message *wire)
{
  return wire->term < NUMBER_MAX && wire->index < NUMBER_MAX
         && wire->log_term < NUMBER_MAX && wire->commit < NUMBER_MAX
         && wire->round < NUMBER_MAX;
}

static bool
message_from_wire (const Br__Replica__Message *wire,
                   br_replica_message_t *message)
{
  switch (message->kind)
    {
    case BR_REPLICA_VOTE_REQUEST:
      message->vote_request
          = (br_vote_request_t){ wire->index, wire->log_term, wire->first_flag,
                                 wire->second_flag };
      return true;
    case BR_REPLICA_VOTE_ANSWER:
      message->vote_answer
          = (br_vote_answer_t){ wire->first_flag, wire->second_flag };
      return true;
    case BR_REPLICA_APPEND:
      return append_from_wire (wire, &message->append);
    case BR_REPLICA_APPEND_ANSWER:
      message->append_answer
          = (br_append_answer_t){ wire->first_flag, wire->index, wire->round,
                                  wire->sent_ms };
      return true;
    case BR_REPLICA_SNAPSHOT:
      return snapshot_from_wire (wire, &message->snapshot);
    case BR_REPLICA_SNAPSHOT_ANSWER:
      message->snapshot_answer
          = (br_snapshot_answer_t){ wire->index, wire->offset, wire->round,
                                    wire->sent_ms };
      return true;
    case BR_REPLICA_TIMEOUT_NOW:
      return true;
    case BR_REPLICA_JOIN:
      message->join.voter_requested = wire->first_flag;
      return true;
    case BR_REPLICA_BOOTSTRAP:
      message->bootstrap.voters_digest = wire->round;
      return true;
    case BR_REPLICA_BOOTSTRAP_ANSWER:
      message->bootstrap_answer
          = (br_bootstrap_answer_t){ wire->first_flag, wire->second_flag };
      return true;
    case BR_REPLICA_READ:
      message->read = (br_read_t){ wire->round, wire->incarnation };
      return true;
    case BR_REPLICA_READ_ANSWER:
      message->read_answer
          = (br_read_answer_t){ wire->round, wire->incarnation, wire->index };
      return true;
    case BR_REPLICA_PROPOSE:
      message->propose.data = br_wire_buf (wire->data);
      return wire->proposer != NULL
             && proposer_from_wire (wire->proposer, &message->propose.proposer);
    case BR_REPLICA_PROPOSE_ANSWER:
      message->propose_answer
          = (br_propose_answer_t){ wire->round, wire->incarnation,
                                   wire->first_flag, wire->second_flag,
                                   wire->index };
      return true;
    case BR_REPLICA_JOIN_ANSWER:
      return join_answer_from_wire (wire, &message->join_answer);
    case BR_REPLICA_MESSAGE_COUNT:
      break;
    }
  return false;
}

bool
br_replica_unpack (br_str_t data,
                   const br_name_t *peer,
                   br_replica_message_t *message,
                   br_error_t *err)
{
  Br__Replica__Message *wire = br__replica__message__unpack (
      NULL, data.len, (const uint8_t *)data.data);
  bool ok = false;

  *message = (br_replica_message_t){ .vm = *peer };
  if (wire == NULL)
    return wire_fail (err, peer->data, "the message does not parse");
  if (wire->kind < BR_REPLICA_MESSAGE_COUNT && wire->disk != 0
      && (wire->kind == BR_REPLICA_BOOTSTRAP || message_is_bounded (wire)))
    {
      message->kind = (br_replica_message_kind_t)wire->kind;
      message->disk = wire->disk;
      message->to_disk = wire->to_disk;
      message->term = wire->term;
      ok = message_from_wire (wire, message);
    }
  br__replica__message__free_unpacked (wire, NULL);
  if (ok)
    return true;
  br_replica_message_release (message);
  return wire_fail (err, peer->data, "a field is missing or out of bounds");
}
