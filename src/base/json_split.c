#include "base/json_split.h"

#include <string.h>

static bool
is_space (char c)
{
  return c == ' ' || c == '\t' || c == '\r' || c == '\n';
}

static br_str_t
str_trim (br_str_t str)
{
  while (str.len > 0 && is_space (str.data[0]))
    str = br_str_make (str.data + 1, str.len - 1);
  while (str.len > 0 && is_space (str.data[str.len - 1]))
    str.len--;
  return str;
}

static br_str_t
str_from (br_str_t str, size_t at)
{
  return br_str_make (str.data + at, str.len - at);
}

static char
closing_of (br_str_t value)
{
  if (value.len == 0)
    return '\0';
  return value.data[0] == '{' ? '}' : value.data[0] == '[' ? ']' : '\0';
}

/* Returns the length of the string at the start of TEXT with its quotes, or the
 * length of TEXT plus 1 when it has no end. */
static size_t
string_len (br_str_t text)
{
  for (size_t at = 1; at < text.len; at++)
    if (text.data[at] == '\\')
      at++;
    else if (text.data[at] == '"')
      return at + 1;
  return text.len + 1;
}

/* Returns the length of the value at the start of TEXT up to the comma after
 * it.  Brackets are counted outside of braces only, where those of a valid
 * object are balanced; so those of an invalid one end with it. */
static size_t
value_len (br_str_t text, bool *unclosed)
{
  char closing = closing_of (text);
  size_t braces = 0;
  size_t brackets = 0;
  size_t at = 0;

  while (at < text.len && (braces + brackets > 0 || text.data[at] != ','))
    {
      char c = text.data[at];

      if (c == '"')
        at += string_len (str_from (text, at));
      else
        at++;
      if (c == '{' && closing != '\0')
        braces++;
      else if (c == '}' && braces > 0)
        braces--;
      else if (c == '[' && closing == ']' && braces == 0)
        brackets++;
      else if (c == ']' && brackets > 0 && braces == 0)
        brackets--;
    }
  *unclosed = braces + brackets > 0 || at > text.len;
  return BR_MIN (at, text.len);
}

/* Moves the key at the start of *TEXT, and the colon after it, to *KEY. */
static void
key_take (br_str_t *text, br_str_t *key)
{
  size_t len = text->len > 0 && text->data[0] == '"' ? string_len (*text) : 0;
  br_str_t rest;

  if (len == 0 || len > text->len)
    return;
  rest = str_trim (str_from (*text, len));
  if (rest.len == 0 || rest.data[0] != ':')
    return;
  *key = br_str_make (text->data + 1, len - 2);
  *text = str_trim (str_from (rest, 1));
}

bool
br_json_split_begin (br_json_split_t *split, br_str_t text)
{
  *split = (br_json_split_t){ 0 };
  text = str_trim (text);
  if (text.len < 2 || closing_of (text) == '\0'
      || text.data[text.len - 1] != closing_of (text))
    return false;
  split->is_object = text.data[0] == '{';
  split->rest = str_trim (br_str_make (text.data + 1, text.len - 2));
  split->has_more = split->rest.len > 0;
  return true;
}

bool
br_json_split_next (br_json_split_t *split, br_str_t *key, br_str_t *value)
{
  br_str_t text = split->rest;
  size_t len;

  *key = (br_str_t){ 0 };
  if (!split->has_more)
    return false;
  if (split->is_object)
    key_take (&text, key);
  len = value_len (text, &split->unclosed);
  *value = str_trim (br_str_make (text.data, len));
  split->has_more = len < text.len;
  if (split->has_more)
    split->rest = str_trim (str_from (text, len + 1));
  return true;
}

void
br_json_split_resume (br_json_split_t *split, br_str_t text)
{
  *split = (br_json_split_t){ .rest = str_trim (text), .is_object = true };
  split->has_more = split->rest.len > 0;
}

bool
br_json_split_cut (br_json_split_t *split, br_str_t *value)
{
  const char *end = split->rest.data + split->rest.len;

  for (size_t at = 0; at < value->len; at++)
    {
      br_str_t next = str_from (*value, at + 1);

      if (value->data[at] != ',')
        continue;
      while (next.len > 0 && is_space (next.data[0]))
        next = str_from (next, 1);
      if (next.len == 0 || next.data[0] != '{')
        continue;
      value->len = at;
      split->rest = br_str_make (next.data, (size_t)(end - next.data));
      split->has_more = true;
      split->unclosed = false;
      return true;
    }
  return false;
}
