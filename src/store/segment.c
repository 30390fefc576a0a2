#include "store/segment.h"

#include <inttypes.h>
#include <string.h>

#include "store/file.h"

#define MAGIC_BYTES 8
#define KIND_BYTES 4
#define SEGMENT_KIND "BRLG"
#define FRAME_MAGIC 0x4d415246u /* "FRAM" */
#define FRAME_HEAD_BYTES 24
#define FRAME_CHECKED_BYTES 16 /* of the head that the checksum covers */
#define RECORD_HEAD_BYTES 4
#define SEALED_HEAD_BYTES 32

void
br_store_records_release (br_store_records_t *records)
{
  for (size_t i = 0; i < records->len; i++)
    br_buf_free (&records->items[i]);
  br_store_records_free (records);
}

static bool
fail_corrupt (br_error_t *err,
              const char *file,
              uint64_t frame,
              const char *what)
{
  return br_error_set (err, BR_ERROR_CORRUPT, "read record", file,
                       "frame %" PRIu64 ": %s", frame, what);
}

static void
magic_append (const char *kind, br_buf_t *out)
{
  br_buf_append (out, br_str_make (kind, KIND_BYTES));
  br_file_put_u32 (out, BR_STORE_VERSION);
}

static bool
magic_check (const char *kind,
             const char *data,
             const char *file,
             br_error_t *err)
{
  uint32_t version = br_file_get_u32 (data + KIND_BYTES);

  if (memcmp (data, kind, KIND_BYTES) != 0)
    return br_error_set (err, BR_ERROR_CORRUPT, "read head", file,
                         "this is not a file of the data folder");
  if (version != BR_STORE_VERSION)
    return br_error_set (err, BR_ERROR_CORRUPT, "read head", file,
                         "format version %u, but this program reads %d",
                         version, BR_STORE_VERSION);
  return true;
}

void
br_segment_append_head (uint64_t number, br_buf_t *out)
{
  size_t start = out->len;

  magic_append (SEGMENT_KIND, out);
  br_file_put_u64 (out, number);
  br_file_put_u64 (
      out, br_str_hash (br_str_make (out->data + start, out->len - start), 0));
}

static uint64_t
frame_checksum (br_str_t frame)
{
  br_str_t head = br_str_make (frame.data, FRAME_CHECKED_BYTES);
  br_str_t payload = br_str_make (frame.data + FRAME_HEAD_BYTES,
                                  frame.len - FRAME_HEAD_BYTES);

  return br_str_hash (payload, br_str_hash (head, 0));
}

void
br_segment_append_frame (uint64_t number,
                         const br_str_t *records,
                         size_t n,
                         br_buf_t *out)
{
  size_t start = out->len;
  br_buf_t checksum = { 0 };
  size_t len = 0;

  for (size_t i = 0; i < n; i++)
    len += RECORD_HEAD_BYTES + records[i].len;
  assert (len <= BR_STORE_FRAME_MAX);
  br_file_put_u32 (out, FRAME_MAGIC);
  br_file_put_u32 (out, (uint32_t)len);
  br_file_put_u64 (out, number);
  br_file_put_u64 (out, 0);
  for (size_t i = 0; i < n; i++)
    {
      br_file_put_u32 (out, (uint32_t)records[i].len);
      br_buf_append (out, records[i]);
    }
  br_file_put_u64 (&checksum, frame_checksum (br_str_make (out->data + start,
                                                           out->len - start)));
  memcpy (out->data + start + FRAME_CHECKED_BYTES, checksum.data, checksum.len);
  br_buf_free (&checksum);
}

/* Returns whether REST starts with a whole frame, and sets its *NUMBER and
 * *LEN. */
static bool
frame_is_whole (br_str_t rest, uint64_t *number, size_t *len)
{
  uint32_t payload;

  if (rest.len < FRAME_HEAD_BYTES || br_file_get_u32 (rest.data) != FRAME_MAGIC)
    return false;
  payload = br_file_get_u32 (rest.data + 4);
  if (payload > rest.len - FRAME_HEAD_BYTES)
    return false;
  *len = FRAME_HEAD_BYTES + payload;
  *number = br_file_get_u64 (rest.data + 8);
  return br_file_get_u64 (rest.data + FRAME_CHECKED_BYTES)
         == frame_checksum (br_str_make (rest.data, *len));
}

/* Returns whether REST contains a whole frame.  The bytes before it had then
 * been synced and were damaged later. */
static bool
contains_whole_frame (br_str_t rest)
{
  uint64_t number;
  size_t len;

  while (rest.len >= FRAME_HEAD_BYTES)
    {
      if (frame_is_whole (rest, &number, &len))
        return true;
      rest.data++;
      rest.len--;
    }
  return false;
}

static bool
frame_read (br_str_t frame, br_store_records_t *records)
{
  br_str_t rest = br_str_make (frame.data + FRAME_HEAD_BYTES,
                               frame.len - FRAME_HEAD_BYTES);

  while (rest.len > 0)
    {
      br_buf_t record = { 0 };
      uint32_t len;

      if (rest.len < RECORD_HEAD_BYTES)
        return false;
      len = br_file_get_u32 (rest.data);
      rest.data += RECORD_HEAD_BYTES;
      rest.len -= RECORD_HEAD_BYTES;
      if (len > rest.len)
        return false;
      br_buf_append (&record, br_str_make (rest.data, len));
      br_store_records_push (records, record);
      rest.data += len;
      rest.len -= len;
    }
  return true;
}

static bool
segment_check_head (br_str_t content,
                    const char *file,
                    uint64_t first,
                    br_error_t *err)
{
  uint64_t checksum;

  if (content.len < BR_SEGMENT_HEAD_BYTES)
    return fail_corrupt (err, file, first,
                         "the head of the segment is truncated");
  if (!magic_check (SEGMENT_KIND, content.data, file, err))
    return false;
  checksum = br_file_get_u64 (content.data + 16);
  if (checksum != br_str_hash (br_str_make (content.data, 16), 0))
    return fail_corrupt (err, file, first,
                         "the head of the segment is damaged");
  if (br_file_get_u64 (content.data + MAGIC_BYTES) != first)
    return fail_corrupt (err, file, first,
                         "the head of the segment has another frame number");
  return true;
}

bool
br_segment_read (br_str_t content,
                 const char *file,
                 uint64_t first,
                 bool is_last,
                 br_store_records_t *records,
                 br_segment_scan_t *scan,
                 br_error_t *err)
{
  uint64_t number;
  size_t len;

  *scan = (br_segment_scan_t){ .next = first, .end = BR_SEGMENT_HEAD_BYTES };
  if (!segment_check_head (content, file, first, err))
    return false;
  while (scan->end < content.len)
    {
      br_str_t rest
          = br_str_make (content.data + scan->end, content.len - scan->end);

      if (!frame_is_whole (rest, &number, &len))
        {
          scan->torn_bytes = rest.len;
          if (!is_last)
            return fail_corrupt (err, file, scan->next, "damaged");
          if (contains_whole_frame (br_str_make (rest.data + 1, rest.len - 1)))
            return fail_corrupt (err, file, scan->next,
                                 "damaged, and a whole frame follows it");
          return true;
        }
      if (number != scan->next)
        return fail_corrupt (err, file, scan->next,
                             "the frame has another number");
      if (!frame_read (br_str_make (rest.data, len), records))
        return fail_corrupt (err, file, scan->next,
                             "a record extends past the end of the frame");
      scan->next++;
      scan->end += len;
    }
  return true;
}

void
br_sealed_pack (const char *kind,
                uint64_t number,
                br_str_t content,
                br_buf_t *out)
{
  br_str_t head;

  magic_append (kind, out);
  br_file_put_u64 (out, number);
  br_file_put_u64 (out, content.len);
  head = br_str_make (out->data, out->len);
  br_file_put_u64 (out, br_str_hash (content, br_str_hash (head, 0)));
  br_buf_append (out, content);
}

bool
br_sealed_read (const char *kind,
                br_str_t data,
                const char *file,
                uint64_t *number,
                br_str_t *content,
                br_error_t *err)
{
  br_str_t head = br_str_make (data.data, SEALED_HEAD_BYTES - 8);

  if (data.len < SEALED_HEAD_BYTES)
    return br_error_set (err, BR_ERROR_CORRUPT, "read", file,
                         "the file is truncated");
  if (!magic_check (kind, data.data, file, err))
    return false;
  *number = br_file_get_u64 (data.data + MAGIC_BYTES);
  *content = br_str_make (data.data + SEALED_HEAD_BYTES,
                          data.len - SEALED_HEAD_BYTES);
  if (br_file_get_u64 (data.data + 16) != content->len
      || br_file_get_u64 (data.data + 24)
             != br_str_hash (*content, br_str_hash (head, 0)))
    return br_error_set (err, BR_ERROR_CORRUPT, "read", file,
                         "the checksum does not match");
  return true;
}
