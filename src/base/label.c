#include "base/label.h"

#include <ctype.h>
#include <string.h>

static size_t
labels_position (const br_labels_t *labels, br_str_t key, bool *found)
{
  size_t low = 0;
  size_t high = labels->len;

  while (low < high)
    {
      size_t middle = (low + high) / 2;
      br_str_t other = br_name_str (&labels->items[middle].key);

      if (br_str_compare (other, key) < 0)
        low = middle + 1;
      else
        high = middle;
    }
  *found = low < labels->len
           && br_str_equal (br_name_str (&labels->items[low].key), key);
  return low;
}

bool
br_labels_set (br_labels_t *labels, br_str_t key, br_str_t value)
{
  br_label_t label;
  bool found;
  size_t at = labels_position (labels, key, &found);

  if (key.len == 0 || !br_name_set (&label.key, key)
      || !br_name_set (&label.value, value))
    return false;
  if (!found)
    {
      br_labels_push (labels, label);
      memmove (&labels->items[at + 1], &labels->items[at],
               (labels->len - 1 - at) * sizeof label);
    }
  labels->items[at] = label;
  return true;
}

const br_name_t *
br_labels_get (const br_labels_t *labels, br_str_t key)
{
  bool found;
  size_t at = labels_position (labels, key, &found);

  return found ? &labels->items[at].value : NULL;
}

void
br_labels_copy (br_labels_t *to, const br_labels_t *from)
{
  br_labels_clear (to);
  for (size_t i = 0; i < from->len; i++)
    br_labels_push (to, from->items[i]);
}

typedef struct
{
  br_str_t text;
  size_t at;
  br_error_t *err;
} selector_reader_t;

static bool
reader_fail (selector_reader_t *reader, const char *expected)
{
  return br_error_set (reader->err, BR_ERROR_INVALID, "parse selector", "",
                       "character %zu of \"%.*s\": expected %s", reader->at + 1,
                       (int)reader->text.len, reader->text.data, expected);
}

static void
reader_skip_space (selector_reader_t *reader)
{
  while (reader->at < reader->text.len
         && isspace ((unsigned char)reader->text.data[reader->at]))
    reader->at++;
}

static bool
reader_is_word (char c)
{
  return isalnum ((unsigned char)c) || strchr ("-_./:", c) != NULL;
}

static br_str_t
reader_peek_word (selector_reader_t *reader)
{
  size_t end;

  reader_skip_space (reader);
  end = reader->at;
  while (end < reader->text.len && reader->text.data[end] != '\0'
         && reader_is_word (reader->text.data[end]))
    end++;
  return br_str_make (reader->text.data + reader->at, end - reader->at);
}

static bool
reader_take_char (selector_reader_t *reader, char c)
{
  reader_skip_space (reader);
  if (reader->at >= reader->text.len || reader->text.data[reader->at] != c)
    return false;
  reader->at++;
  return true;
}

static bool
reader_take_name (selector_reader_t *reader,
                  const char *expected,
                  br_name_t *name)
{
  br_str_t word = reader_peek_word (reader);

  if (word.len == 0 || !br_name_set (name, word))
    return reader_fail (reader, expected);
  reader->at += word.len;
  return true;
}

static bool
reader_take_value (selector_reader_t *reader, br_selector_term_t *term)
{
  br_name_t value;

  if (!reader_take_name (reader, "a value", &value))
    return false;
  br_names_push (&term->values, value);
  return true;
}

static bool
reader_take_list (selector_reader_t *reader, br_selector_term_t *term)
{
  if (!reader_take_char (reader, '('))
    return reader_fail (reader, "'('");
  do
    {
      if (!reader_take_value (reader, term))
        return false;
    }
  while (reader_take_char (reader, ','));
  if (!reader_take_char (reader, ')'))
    return reader_fail (reader, "',' or ')'");
  return true;
}

static bool
reader_take_op (selector_reader_t *reader, br_selector_term_t *term)
{
  br_str_t word = reader_peek_word (reader);

  if (br_str_equal (word, br_str_from ("in")))
    term->op = BR_SELECTOR_IN;
  else if (br_str_equal (word, br_str_from ("notin")))
    term->op = BR_SELECTOR_NOT_IN;
  else if (word.len > 0)
    return reader_fail (reader, "'=', '!=', 'in' or 'notin'");
  if (word.len > 0)
    {
      reader->at += word.len;
      return reader_take_list (reader, term);
    }
  term->op = BR_SELECTOR_EQUAL;
  if (reader_take_char (reader, '!'))
    term->op = BR_SELECTOR_NOT_EQUAL;
  if (!reader_take_char (reader, '='))
    return reader_fail (reader, "'=', '!=', 'in' or 'notin'");
  return reader_take_value (reader, term);
}

static bool
reader_take_term (selector_reader_t *reader, br_selector_term_t *term)
{
  if (!reader_take_name (reader, "a label key", &term->key))
    return false;
  if (br_str_equal (br_name_str (&term->key), br_str_from ("exists"))
      && reader_peek_word (reader).len > 0)
    {
      term->op = BR_SELECTOR_EXISTS;
      return reader_take_name (reader, "a label key", &term->key);
    }
  return reader_take_op (reader, term);
}

bool
br_selector_parse (br_str_t text, br_selector_t *selector, br_error_t *err)
{
  selector_reader_t reader = { .text = text, .err = err };

  *selector = (br_selector_t){ 0 };
  reader_skip_space (&reader);
  if (reader.at == text.len)
    return true;
  do
    {
      br_selector_term_t *term
          = br_selector_push (selector, (br_selector_term_t){ 0 });

      if (!reader_take_term (&reader, term))
        goto fail;
    }
  while (reader_take_char (&reader, ','));
  reader_skip_space (&reader);
  if (reader.at == text.len)
    return true;
  reader_fail (&reader, "',' or the end");
fail:
  br_selector_release (selector);
  return false;
}

void
br_selector_release (br_selector_t *selector)
{
  for (size_t i = 0; i < selector->len; i++)
    br_names_free (&selector->items[i].values);
  br_selector_free (selector);
}

static bool
term_has_value (const br_selector_term_t *term, const br_name_t *value)
{
  for (size_t i = 0; i < term->values.len; i++)
    if (br_name_equal (&term->values.items[i], value))
      return true;
  return false;
}

static bool
term_matches (const br_selector_term_t *term, const br_labels_t *labels)
{
  const br_name_t *value = br_labels_get (labels, br_name_str (&term->key));

  switch (term->op)
    {
    case BR_SELECTOR_EQUAL:
    case BR_SELECTOR_IN:
      return value != NULL && term_has_value (term, value);
    case BR_SELECTOR_NOT_EQUAL:
    case BR_SELECTOR_NOT_IN:
      return value == NULL || !term_has_value (term, value);
    case BR_SELECTOR_EXISTS:
      return value != NULL;
    }
  return false;
}

bool
br_selector_matches (const br_selector_t *selector, const br_labels_t *labels)
{
  for (size_t i = 0; i < selector->len; i++)
    if (!term_matches (&selector->items[i], labels))
      return false;
  return true;
}
