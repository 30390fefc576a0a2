#include "http/http_head.h"

#include <string.h>
#include <strings.h>

/* Fields that may occur only once: if one is repeated, two parsers may
 * interpret the same message differently. */
static const char *const single_fields[] = {
  "content-length", "transfer-encoding", "host",
  "authorization",  "idempotency-key",
};

static const char *const hop_by_hop_fields[] = {
  "connection", "keep-alive", "proxy-connection",  "proxy-authenticate",
  "te",         "trailer",    "transfer-encoding", "upgrade",
};

void
br_http_head_release (br_http_head_t *head)
{
  br_buf_free (&head->bytes);
  br_http_headers_free (&head->headers);
  *head = (br_http_head_t){ 0 };
}

void
br_http_head_copy (br_http_head_t *copy, const br_http_head_t *head)
{
  br_http_head_release (copy);
  copy->status = head->status;
  br_buf_append (&copy->bytes, br_buf_str (&head->bytes));
  for (size_t i = 0; i < head->headers.len; i++)
    {
      br_http_header_t header = head->headers.items[i];

      header.name.data
          = copy->bytes.data + (header.name.data - head->bytes.data);
      if (header.value.len > 0)
        header.value.data
            = copy->bytes.data + (header.value.data - head->bytes.data);
      br_http_headers_push (&copy->headers, header);
    }
}

bool
br_http_name_is (br_str_t name, const char *expected)
{
  return name.len == strlen (expected)
         && strncasecmp (name.data, expected, name.len) == 0;
}

const char *
br_http_head_framing_name (const br_http_head_t *head)
{
  if (head->chunked)
    return "chunks";
  return head->content_length >= 0 ? "length" : "close";
}

br_str_t
br_http_head_find (const br_http_head_t *head, const char *name)
{
  for (size_t i = 0; i < head->headers.len; i++)
    if (br_http_name_is (head->headers.items[i].name, name))
      return head->headers.items[i].value;
  return (br_str_t){ 0 };
}

static br_str_t
str_trim (br_str_t str)
{
  while (str.len > 0 && (str.data[0] == ' ' || str.data[0] == '\t'))
    str = br_str_make (str.data + 1, str.len - 1);
  while (str.len > 0
         && (str.data[str.len - 1] == ' ' || str.data[str.len - 1] == '\t'))
    str.len--;
  return str;
}

/* Returns whether NAME is an item of the comma-separated LIST. */
static bool
list_has (br_str_t list, br_str_t name)
{
  while (list.len > 0)
    {
      const char *comma = memchr (list.data, ',', list.len);
      size_t len = comma != NULL ? (size_t)(comma - list.data) : list.len;
      br_str_t item = str_trim (br_str_make (list.data, len));

      if (item.len == name.len
          && strncasecmp (item.data, name.data, name.len) == 0)
        return true;
      len += comma != NULL ? 1 : 0;
      list = br_str_make (list.data + len, list.len - len);
    }
  return false;
}

bool
br_http_head_is_hop_by_hop (const br_http_head_t *head, br_str_t name)
{
  for (size_t i = 0; i < BR_N_ELEMENTS (hop_by_hop_fields); i++)
    if (br_http_name_is (name, hop_by_hop_fields[i]))
      return true;
  return list_has (br_http_head_find (head, "connection"), name);
}

/* --- strict reading --- */

static bool
char_is_token (unsigned char c)
{
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z')
         || (c >= 'A' && c <= 'Z')
         || (c != '\0' && strchr ("!#$%&'*+-.^_`|~", c) != NULL);
}

static bool
strict_fail (br_error_t *err, const char *what)
{
  return br_error_set (err, BR_ERROR_INVALID, "read head", "", "%s", what);
}

/* LINE is one field line without its line end. */
static bool
line_is_strict (br_str_t line, uint32_t *seen, br_error_t *err)
{
  const char *colon = memchr (line.data, ':', line.len);
  br_str_t name;

  if (colon == NULL || colon == line.data)
    return strict_fail (err, "a header line has no name");
  name = br_str_make (line.data, (size_t)(colon - line.data));
  for (size_t i = 0; i < name.len; i++)
    if (!char_is_token ((unsigned char)name.data[i]))
      return strict_fail (err, "a header name holds a forbidden character, "
                               "or the line is folded");
  for (size_t i = 0; i < BR_N_ELEMENTS (single_fields); i++)
    if (br_http_name_is (name, single_fields[i]))
      {
        if ((*seen & (1u << i)) != 0)
          return br_error_set (err, BR_ERROR_INVALID, "read head", "",
                               "%.*s comes twice", (int)name.len, name.data);
        *seen |= 1u << i;
      }
  return true;
}

static bool
char_is_control (unsigned char c)
{
  return (c < ' ' && c != '\t') || c == 0x7f;
}

bool
br_http_head_is_strict (br_str_t bytes, br_error_t *err)
{
  uint32_t seen = 0;
  bool first = true;

  while (bytes.len > 0)
    {
      const char *end = memchr (bytes.data, '\n', bytes.len);
      size_t len;

      if (end == NULL || end == bytes.data || end[-1] != '\r')
        return strict_fail (err, "a line does not end in CR LF");
      len = (size_t)(end - bytes.data) - 1;
      for (size_t i = 0; i < len; i++)
        if (char_is_control ((unsigned char)bytes.data[i]))
          return strict_fail (err, "a line holds a control character");
      if (!first && len > 0
          && !line_is_strict (br_str_make (bytes.data, len), &seen, err))
        return false;
      first = false;
      bytes = br_str_make (end + 1, bytes.len - len - 2);
    }
  return true;
}

#define STATUS_DIGITS 3

bool
br_http_head_has_status (br_str_t bytes, br_error_t *err)
{
  static const char version[] = "HTTP/1.x ";
  const size_t at = sizeof version - 1;
  int status = 0;

  if (bytes.len <= at + STATUS_DIGITS || bytes.data[at - 1] != ' ')
    return strict_fail (err, "the first line states no status");
  for (size_t i = at; i < at + STATUS_DIGITS; i++)
    {
      if (bytes.data[i] < '0' || bytes.data[i] > '9')
        return strict_fail (err, "the status is not of three digits");
      status = 10 * status + bytes.data[i] - '0';
    }
  if (bytes.data[at + STATUS_DIGITS] != ' '
      && bytes.data[at + STATUS_DIGITS] != '\r')
    return strict_fail (err, "the status is not of three digits");
  if (status < 100 || status > 599 || status == 101)
    return br_error_set (err, BR_ERROR_INVALID, "read head", "",
                         "the status is %d", status);
  return true;
}
