/* Packs and unpacks the frames between entry VMs: a four-byte big-endian
 * length, followed by one protobuf message (src/wire/envelope.proto). */
#ifndef BR_WIRE_FRAME_H
#define BR_WIRE_FRAME_H

#include "base/error.h"
#include "base/hlc.h"
#include "base/str.h"

BR_BEGIN_DECLS

/* Version of the protocol between entry VMs. */
#define BR_WIRE_VERSION 1

/* Longest frame accepted, in bytes. */
#define BR_FRAME_MAX (8 * 1024 * 1024)

#define BR_NONCE_BYTES 16
#define BR_MAC_BYTES 32

/* X (id, name), of the modules that send messages between VMs.  The position is
 * the number on the wire. */
#define BR_PART_TABLE(X)                                                       \
  X (REPLICA, "replica")                                                       \
  X (STATE, "state")                                                           \
  X (CONTRACT, "contract")                                                     \
  X (DOMAIN, "domain")                                                         \
  X (LINK, "link")                                                             \
  X (UPSTREAM, "upstream")                                                     \
  X (ORGANISATION, "organisation")                                             \
  X (ROUTE, "route")                                                           \
  X (SITE, "site")

typedef enum
{
#define X(id, name) BR_PART_##id,
  BR_PART_TABLE (X)
#undef X
      BR_PART_COUNT
} br_part_t;

typedef enum
{
  BR_FRAME_HELLO,
  BR_FRAME_PROOF,
  BR_FRAME_ENVELOPE,
} br_frame_kind_t;

typedef struct
{
  uint32_t version;
  br_name_t vm;
  uint64_t incarnation;
  br_name_t failure_domain;
  uint8_t nonce[BR_NONCE_BYTES];
} br_hello_t;

typedef struct
{
  uint8_t mac[BR_MAC_BYTES];
} br_proof_t;

/* PAYLOAD is a view.  After unpacking it points into memory that the frame
 * owns. */
typedef struct
{
  br_part_t part;
  br_hlc_t hlc;
  br_str_t payload;
} br_envelope_t;

typedef struct
{
  br_frame_kind_t kind;
  union
  {
    br_hello_t hello;
    br_proof_t proof;
    br_envelope_t envelope;
  };
  void *unpacked; /* owned; released by br_frame_release() */
} br_frame_t;

const char *br_part_name (br_part_t part);

/* Appends FRAME, with its length in front, to OUT. */
void br_frame_pack (const br_frame_t *frame, br_buf_t *out);

typedef enum
{
  BR_FRAME_READY,   /* *FRAME is set and *USED bytes were read */
  BR_FRAME_PARTIAL, /* more bytes are needed */
  BR_FRAME_BAD,     /* *ERR says why; the link must be closed */
} br_frame_status_t;

/* Reads one frame from the start of INPUT.  PEER is named in *ERR.  The caller
 * releases a ready frame with br_frame_release(). */
br_frame_status_t br_frame_unpack (br_str_t input,
                                   const char *peer,
                                   br_frame_t *frame,
                                   size_t *used,
                                   br_error_t *err);
void br_frame_release (br_frame_t *frame);

BR_END_DECLS

#endif
