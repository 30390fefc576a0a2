#include "state/message.h"

#include <string.h>

static const char *const state_names[] = {
#define X(id, name) name,
  BR_CLAIM_STATE_TABLE (X)
#undef X
};

static const char *const outcome_names[] = {
#define X(id, name) name,
  BR_CLAIM_OUTCOME_TABLE (X)
#undef X
};

const char *
br_claim_state_name (br_claim_state_t state)
{
  return (unsigned)state < BR_N_ELEMENTS (state_names) ? state_names[state]
                                                       : "?";
}

bool
br_claim_state_parse (br_str_t text, br_claim_state_t *state)
{
  for (size_t i = 0; i < BR_N_ELEMENTS (state_names); i++)
    if (br_str_equal (text, br_str_from (state_names[i])))
      {
        *state = (br_claim_state_t)i;
        return true;
      }
  return false;
}

const char *
br_claim_outcome_name (br_claim_outcome_t outcome)
{
  return (unsigned)outcome < BR_N_ELEMENTS (outcome_names)
             ? outcome_names[outcome]
             : "?";
}

static void
message_pack (const ProtobufCMessage *message, br_buf_t *out)
{
  size_t len = protobuf_c_message_get_packed_size (message);

  br_buf_reserve (out, len);
  protobuf_c_message_pack (message, (uint8_t *)out->data + out->len);
  out->len += len;
  out->data[out->len] = '\0';
}

void
br_command_pack (const br_command_t *command, br_buf_t *out)
{
  message_pack (&command->base, out);
}

void
br_result_pack (const br_result_t *result, br_buf_t *out)
{
  message_pack (&result->base, out);
}

br_result_t *
br_result_unpack (br_str_t data)
{
  return br__state__result__unpack (NULL, data.len, (const uint8_t *)data.data);
}

void
br_result_free (br_result_t *result)
{
  if (result != NULL)
    br__state__result__free_unpacked (result, NULL);
}

bool
br_claim_owner_equal (const br_claim_owner_t *a, const br_claim_owner_t *b)
{
  return a != NULL && b != NULL && a->incarnation == b->incarnation
         && a->number == b->number && strcmp (a->vm, b->vm) == 0;
}

ProtobufCBinaryData
br_message_bytes (br_str_t str)
{
  ProtobufCBinaryData bytes = { .len = str.len, .data = (uint8_t *)str.data };

  return bytes;
}

br_str_t
br_message_str (ProtobufCBinaryData bytes)
{
  return br_str_make ((const char *)bytes.data, bytes.len);
}
