/* Encodes and decodes the files in the data folder.
 *
 * A segment is a head (magic with the format version, number of its first
 * frame, checksum) followed by frames.  A frame holds magic, length, number,
 * checksum and the records of one append.  It is synced before the next one is
 * written, so only the last frame of the last segment can be torn. */
#ifndef BR_STORE_SEGMENT_H
#define BR_STORE_SEGMENT_H

#include "base/error.h"
#include "base/str.h"
#include "base/vec.h"

BR_BEGIN_DECLS

/* Format version of all files in the data folder. */
#define BR_STORE_VERSION 1

/* Longest frame, in bytes. */
#define BR_STORE_FRAME_MAX (64 * 1024 * 1024)

#define BR_SEGMENT_HEAD_BYTES 24

BR_VEC (br_store_records, br_buf_t);

void br_store_records_release (br_store_records_t *records);

/* Appends the head of a segment whose first frame has NUMBER. */
void br_segment_append_head (uint64_t number, br_buf_t *out);

/* Appends one frame that holds the N records. */
void br_segment_append_frame (uint64_t number,
                              const br_str_t *records,
                              size_t n,
                              br_buf_t *out);

/* Extent of the valid frames in a segment. */
typedef struct
{
  uint64_t next;     /* number of the frame after the last whole one */
  size_t end;        /* offset of its end, in bytes */
  size_t torn_bytes; /* of an unfinished frame after END */
} br_segment_scan_t;

/* Reads a segment, the CONTENT of FILE, and appends its records to RECORDS.
 * Its first frame must have number FIRST.  Damage is reported as
 * BR_ERROR_CORRUPT with the file and the frame.  Only the last segment may end
 * in a torn frame. */
bool br_segment_read (br_str_t content,
                      const char *file,
                      uint64_t first,
                      bool is_last,
                      br_store_records_t *records,
                      br_segment_scan_t *scan,
                      br_error_t *err);

/* Writes a sealed file to OUT, which must be empty: KIND (four characters), the
 * format version, NUMBER, the length of CONTENT, a checksum over all of it, and
 * CONTENT. */
void br_sealed_pack (const char *kind,
                     uint64_t number,
                     br_str_t content,
                     br_buf_t *out);

/* Reads what br_sealed_pack() wrote.  *CONTENT is a view into DATA. */
bool br_sealed_read (const char *kind,
                     br_str_t data,
                     const char *file,
                     uint64_t *number,
                     br_str_t *content,
                     br_error_t *err);

BR_END_DECLS

#endif
