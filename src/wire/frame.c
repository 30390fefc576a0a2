#include "wire/frame.h"

#include <assert.h>
#include <string.h>

#include "wire/envelope.pb-c.h"

#define LENGTH_BYTES 4

static const char *const part_names[] = {
#define X(id, name) name,
  BR_PART_TABLE (X)
#undef X
};

const char *
br_part_name (br_part_t part)
{
  return (unsigned)part < BR_PART_COUNT ? part_names[part] : "unknown";
}

static ProtobufCBinaryData
frame_bytes (const void *data, size_t len)
{
  ProtobufCBinaryData bytes = { .len = len, .data = (uint8_t *)data };

  return bytes;
}

static void
frame_write_length (br_buf_t *out, size_t len)
{
  char head[LENGTH_BYTES] = {
    (char)(len >> 24),
    (char)(len >> 16),
    (char)(len >> 8),
    (char)len,
  };

  br_buf_append (out, br_str_make (head, sizeof head));
}

static void
frame_append (const Br__Wire__Frame *wire, br_buf_t *out)
{
  size_t len = br__wire__frame__get_packed_size (wire);

  assert (len <= BR_FRAME_MAX);
  frame_write_length (out, len);
  br_buf_reserve (out, len);
  br__wire__frame__pack (wire, (uint8_t *)out->data + out->len);
  out->len += len;
  out->data[out->len] = '\0';
}

static void
frame_pack_hello (const br_hello_t *hello, br_buf_t *out)
{
  Br__Wire__Frame wire = BR__WIRE__FRAME__INIT;
  Br__Wire__Hello body = BR__WIRE__HELLO__INIT;

  body.version = hello->version;
  body.vm = (char *)hello->vm.data;
  body.incarnation = hello->incarnation;
  body.failure_domain = (char *)hello->failure_domain.data;
  body.nonce = frame_bytes (hello->nonce, sizeof hello->nonce);
  wire.body_case = BR__WIRE__FRAME__BODY_HELLO;
  wire.hello = &body;
  frame_append (&wire, out);
}

static void
frame_pack_proof (const br_proof_t *proof, br_buf_t *out)
{
  Br__Wire__Frame wire = BR__WIRE__FRAME__INIT;
  Br__Wire__Proof body = BR__WIRE__PROOF__INIT;

  body.mac = frame_bytes (proof->mac, sizeof proof->mac);
  wire.body_case = BR__WIRE__FRAME__BODY_PROOF;
  wire.proof = &body;
  frame_append (&wire, out);
}

static void
frame_pack_envelope (const br_envelope_t *envelope, br_buf_t *out)
{
  Br__Wire__Frame wire = BR__WIRE__FRAME__INIT;
  Br__Wire__Envelope body = BR__WIRE__ENVELOPE__INIT;

  body.part = envelope->part;
  body.hlc_wall_ms = (uint64_t)envelope->hlc.wall_ms;
  body.hlc_count = envelope->hlc.count;
  body.payload = frame_bytes (envelope->payload.data, envelope->payload.len);
  wire.body_case = BR__WIRE__FRAME__BODY_ENVELOPE;
  wire.envelope = &body;
  frame_append (&wire, out);
}

void
br_frame_pack (const br_frame_t *frame, br_buf_t *out)
{
  switch (frame->kind)
    {
    case BR_FRAME_HELLO:
      frame_pack_hello (&frame->hello, out);
      break;
    case BR_FRAME_PROOF:
      frame_pack_proof (&frame->proof, out);
      break;
    case BR_FRAME_ENVELOPE:
      frame_pack_envelope (&frame->envelope, out);
      break;
    }
}

static bool
frame_read_hello (const Br__Wire__Hello *wire, br_hello_t *hello)
{
  if (wire->nonce.len != BR_NONCE_BYTES)
    return false;
  hello->version = wire->version;
  hello->incarnation = wire->incarnation;
  memcpy (hello->nonce, wire->nonce.data, BR_NONCE_BYTES);
  return br_name_set (&hello->vm, br_str_from (wire->vm))
         && br_name_set (&hello->failure_domain,
                         br_str_from (wire->failure_domain));
}

static bool
frame_read_proof (const Br__Wire__Proof *wire, br_proof_t *proof)
{
  if (wire->mac.len != BR_MAC_BYTES)
    return false;
  memcpy (proof->mac, wire->mac.data, BR_MAC_BYTES);
  return true;
}

static bool
frame_read_envelope (const Br__Wire__Envelope *wire, br_envelope_t *envelope)
{
  if (wire->part >= BR_PART_COUNT)
    return false;
  envelope->part = (br_part_t)wire->part;
  envelope->hlc.wall_ms = (br_ms_t)wire->hlc_wall_ms;
  envelope->hlc.count = wire->hlc_count;
  envelope->payload
      = br_str_make ((const char *)wire->payload.data, wire->payload.len);
  return true;
}

static bool
frame_read_body (const Br__Wire__Frame *wire, br_frame_t *frame)
{
  switch (wire->body_case)
    {
    case BR__WIRE__FRAME__BODY_HELLO:
      frame->kind = BR_FRAME_HELLO;
      return frame_read_hello (wire->hello, &frame->hello);
    case BR__WIRE__FRAME__BODY_PROOF:
      frame->kind = BR_FRAME_PROOF;
      return frame_read_proof (wire->proof, &frame->proof);
    case BR__WIRE__FRAME__BODY_ENVELOPE:
      frame->kind = BR_FRAME_ENVELOPE;
      return frame_read_envelope (wire->envelope, &frame->envelope);
    default:
      return false;
    }
}

static size_t
frame_read_length (br_str_t input)
{
  const unsigned char *head = (const unsigned char *)input.data;

  return (size_t)head[0] << 24 | (size_t)head[1] << 16 | (size_t)head[2] << 8
         | (size_t)head[3];
}

br_frame_status_t
br_frame_unpack (br_str_t input,
                 const char *peer,
                 br_frame_t *frame,
                 size_t *used,
                 br_error_t *err)
{
  Br__Wire__Frame *wire;
  size_t len;

  *frame = (br_frame_t){ 0 };
  if (input.len < LENGTH_BYTES)
    return BR_FRAME_PARTIAL;
  len = frame_read_length (input);
  if (len > BR_FRAME_MAX)
    {
      br_error_set (err, BR_ERROR_PROTOCOL, "read frame", peer,
                    "frame of %zu bytes is over the limit of %d", len,
                    BR_FRAME_MAX);
      return BR_FRAME_BAD;
    }
  if (input.len - LENGTH_BYTES < len)
    return BR_FRAME_PARTIAL;
  wire = br__wire__frame__unpack (NULL, len,
                                  (const uint8_t *)input.data + LENGTH_BYTES);
  if (wire == NULL || !frame_read_body (wire, frame))
    {
      br_error_set (err, BR_ERROR_PROTOCOL, "read frame", peer,
                    "frame of %zu bytes does not parse", len);
      if (wire != NULL)
        br__wire__frame__free_unpacked (wire, NULL);
      return BR_FRAME_BAD;
    }
  frame->unpacked = wire;
  *used = LENGTH_BYTES + len;
  return BR_FRAME_READY;
}

void
br_frame_release (br_frame_t *frame)
{
  if (frame->unpacked != NULL)
    br__wire__frame__free_unpacked (frame->unpacked, NULL);
  frame->unpacked = NULL;
}
