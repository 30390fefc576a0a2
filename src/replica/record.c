#include "replica/wire_private.h"

/* Size of the length that precedes the head of a packed snapshot. */
#define SNAPSHOT_LENGTH_BYTES 4

void
br_record_pack (const br_record_t *record, br_buf_t *out)
{
  Br__Replica__Record wire;
  Br__Replica__HardState hard_state;
  Br__Replica__Entry entry;
  Br__Replica__Proposer proposer;

  br__replica__record__init (&wire);
  switch (record->kind)
    {
    case BR_RECORD_HARD_STATE:
      br__replica__hard_state__init (&hard_state);
      hard_state.term = record->hard_state.term;
      hard_state.vote = (char *)record->hard_state.vote.data;
      hard_state.commit = record->hard_state.commit;
      wire.body_case = BR__REPLICA__RECORD__BODY_HARD_STATE;
      wire.hard_state = &hard_state;
      break;
    case BR_RECORD_ENTRY:
      br_entry_to_wire (&record->entry, &entry, &proposer);
      wire.body_case = BR__REPLICA__RECORD__BODY_ENTRY;
      wire.entry = &entry;
      break;
    }
  br_wire_append (out, &wire.base);
}

static bool
record_from_wire (const Br__Replica__Record *wire, br_record_t *record)
{
  switch (wire->body_case)
    {
    case BR__REPLICA__RECORD__BODY_HARD_STATE:
      record->kind = BR_RECORD_HARD_STATE;
      record->hard_state.term = wire->hard_state->term;
      record->hard_state.commit = wire->hard_state->commit;
      return br_name_set (&record->hard_state.vote,
                          br_str_from (wire->hard_state->vote));
    case BR__REPLICA__RECORD__BODY_ENTRY:
      record->kind = BR_RECORD_ENTRY;
      return br_entry_from_wire (wire->entry, &record->entry);
    default:
      return false;
    }
}

bool
br_record_unpack (br_str_t data, br_record_t *record, br_error_t *err)
{
  Br__Replica__Record *wire = br__replica__record__unpack (
      NULL, data.len, (const uint8_t *)data.data);
  bool ok = wire != NULL && record_from_wire (wire, record);

  if (wire != NULL)
    br__replica__record__free_unpacked (wire, NULL);
  if (ok)
    return true;
  return br_error_set (err, BR_ERROR_CORRUPT, "read record", "",
                       "the record does not parse");
}

void
br_replica_snapshot_release (br_replica_snapshot_t *snapshot)
{
  br_config_release (&snapshot->config);
  br_buf_free (&snapshot->state);
}

void
br_replica_snapshot_pack (const br_replica_snapshot_t *snapshot, br_buf_t *out)
{
  Br__Replica__SnapshotHead head;
  uint32_t len;

  br__replica__snapshot_head__init (&head);
  head.index = snapshot->index;
  head.term = snapshot->term;
  head.config = br_config_to_wire (&snapshot->config);
  len = (uint32_t)br__replica__snapshot_head__get_packed_size (&head);
  for (int shift = 24; shift >= 0; shift -= 8)
    br_buf_append_char (out, (char)(len >> shift));
  br_wire_append (out, &head.base);
  br_buf_append (out, br_buf_str (&snapshot->state));
  br_config_free_wire (head.config);
}

static bool
snapshot_read (br_str_t data, br_replica_snapshot_t *snapshot)
{
  Br__Replica__SnapshotHead *head;
  size_t len = 0;
  bool ok;

  if (data.len < SNAPSHOT_LENGTH_BYTES)
    return false;
  for (int i = 0; i < SNAPSHOT_LENGTH_BYTES; i++)
    len = len << 8 | (uint8_t)data.data[i];
  if (len > data.len - SNAPSHOT_LENGTH_BYTES)
    return false;
  data.data += SNAPSHOT_LENGTH_BYTES;
  data.len -= SNAPSHOT_LENGTH_BYTES;
  head = br__replica__snapshot_head__unpack (NULL, len,
                                             (const uint8_t *)data.data);
  if (head == NULL)
    return false;
  snapshot->index = head->index;
  snapshot->term = head->term;
  ok = head->config != NULL
       && br_config_from_wire (head->config, &snapshot->config);
  br__replica__snapshot_head__free_unpacked (head, NULL);
  br_buf_append (&snapshot->state,
                 br_str_make (data.data + len, data.len - len));
  return ok;
}

bool
br_replica_snapshot_unpack (br_str_t data,
                            br_replica_snapshot_t *snapshot,
                            br_error_t *err)
{
  *snapshot = (br_replica_snapshot_t){ 0 };
  if (snapshot_read (data, snapshot))
    return true;
  br_replica_snapshot_release (snapshot);
  return br_error_set (err, BR_ERROR_CORRUPT, "read snapshot", "",
                       "the snapshot head does not parse");
}
