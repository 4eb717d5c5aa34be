/* text_ini.c - INI parser with source positions.

   inih calls back for each pair, but it does not report the line of a pair,
   empty sections or any invalid line after the first, and it truncates
   section names at 49 bytes.  The reader callback makes up for that: a pair
   belongs to the line read last, headers are parsed from the raw line, and a
   line that should be a pair but caused no callback is invalid.
   Needs: text_ini.h, inih, jansson (UTF-8 check).  */

#include "text_ini.h"
#include "../limits.h"
#include <ini.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define BYTE_ORDER_MARK "\xef\xbb\xbf"
#define FIRST_ALLOCATION 8

struct ini_reader
{
  struct mq_ini *ini;
  struct mq_error_list *errors;
  const char *next;
  const char *end;
  const char *raw; /* last line read */
  size_t raw_len;
  size_t indent; /* leading blanks */
  uint32_t line; /* line number */
  bool pair_due; /* a pair callback is expected */
  bool skipping; /* below an invalid header */
};

/* Errors.  */

static bool
make_room (struct mq_error_list *list)
{
  struct mq_text_errors *errors = list->errors;
  struct mq_error *items;

  items = talloc_realloc (list->ctx, errors->items, struct mq_error,
                          errors->count + 1);
  if (items == NULL)
    return false;
  errors->items = items;
  return true;
}

/* Length of TEXT up to the last complete UTF-8 character.  */
static size_t
complete_characters_len (const char *text, size_t len)
{
  size_t start = len;

  while (start > 0 && ((unsigned char)text[start - 1] & 0xc0) == 0x80)
    start--;
  return start > 0 && (unsigned char)text[start - 1] >= 0xc0 ? start - 1 : len;
}

/* Error texts are truncated at a fixed length; a partial UTF-8 character
   would make the JSON of the error invalid.  */
static void
trim_partial_character (char text[MQ_SUBJECT_MAX])
{
  size_t len = strlen (text);

  if (len == MQ_SUBJECT_MAX - 1)
    text[complete_characters_len (text, len)] = '\0';
}

void
mq_error_list_add (struct mq_error_list *list, enum mq_error_type type,
                   struct mq_text_position position, const char *subject,
                   const char *allowed)
{
  struct mq_text_errors *errors = list->errors;
  struct mq_error *error;

  if (errors->count >= MQ_TEXT_ERRORS_MAX || !make_room (list))
    return;
  error = &errors->items[errors->count++];
  if (errors->count == MQ_TEXT_ERRORS_MAX)
    {
      type = MQ_ERR_TOO_LARGE;
      subject = "number of errors";
      allowed = "correct the listed errors; there are more";
    }
  mq_error_set (error, type, subject, allowed);
  trim_partial_character (error->subject);
  trim_partial_character (error->allowed);
  error->line = position.line;
  error->column = position.column;
}

static int
compare_errors (const void *left, const void *right)
{
  const struct mq_error *a = left;
  const struct mq_error *b = right;

  /* Sort the "number of errors" entry last.  */
  if ((a->type == MQ_ERR_TOO_LARGE) != (b->type == MQ_ERR_TOO_LARGE))
    return a->type == MQ_ERR_TOO_LARGE ? 1 : -1;
  if (a->line != b->line)
    return a->line < b->line ? -1 : 1;
  if (a->column != b->column)
    return a->column < b->column ? -1 : 1;
  return strcmp (a->subject, b->subject);
}

void
mq_error_list_sort (struct mq_error_list *list)
{
  struct mq_text_errors *errors = list->errors;

  if (errors->count > 1)
    qsort (errors->items, errors->count, sizeof errors->items[0],
           compare_errors);
}

/* Lines.  */

static bool
is_blank (char c)
{
  return c == ' ' || c == '\t' || c == '\r' || c == '\f' || c == '\v';
}

/* Does not include the line itself, which may contain a secret.  */
static void
report_syntax (struct ini_reader *reader, size_t offset, const char *subject,
               const char *allowed)
{
  struct mq_text_position position = { reader->line, (uint32_t)offset + 1 };

  mq_error_list_add (reader->errors, MQ_ERR_TEXT_SYNTAX, position, subject,
                     allowed);
}

static void
load_line (struct ini_reader *reader)
{
  const char *start = reader->next;
  size_t left = (size_t)(reader->end - start);
  const char *newline = memchr (start, '\n', left);
  size_t len = newline == NULL ? left : (size_t)(newline - start);

  reader->next = start + len + (newline == NULL ? 0 : 1);
  while (len > 0 && is_blank (start[len - 1]))
    len--;
  reader->raw = start;
  reader->raw_len = len;
  reader->indent = 0;
  while (reader->indent < len && is_blank (start[reader->indent]))
    reader->indent++;
  reader->line++;
}

static bool
is_utf8 (const char *text, size_t len)
{
  json_t *string = json_stringn (text, len);

  json_decref (string);
  return string != NULL;
}

static bool
line_is_readable (struct ini_reader *reader)
{
  if (reader->raw_len > MQ_TEXT_LINE_MAX)
    {
      report_syntax (
          reader, MQ_TEXT_LINE_MAX, "line too long",
          "at most 198 bytes; a long prompt may use several prompt keys");
      return false;
    }
  if (memchr (reader->raw, '\0', reader->raw_len) != NULL
      || !is_utf8 (reader->raw, reader->raw_len))
    {
      report_syntax (reader, 0, "invalid byte in line",
                     "UTF-8 without NUL bytes");
      return false;
    }
  return true;
}

/* Sections.  */

static struct mq_ini_section *
add_section (struct mq_ini *ini)
{
  struct mq_ini_section *sections = ini->sections;
  size_t count = ini->section_count;

  if (talloc_array_length (sections) == count)
    sections
        = talloc_realloc (ini, sections, struct mq_ini_section,
                          count == 0 ? FIRST_ALLOCATION : (unsigned)count * 2);
  if (sections == NULL)
    return NULL;
  ini->sections = sections;
  ini->section_count = count + 1;
  memset (&sections[count], 0, sizeof sections[count]);
  return &sections[count];
}

/* Offset of the closing bracket of the header, 0 if none.  */
static size_t
find_bracket (const struct ini_reader *reader)
{
  const char *start = reader->raw + reader->indent;
  const char *bracket = memchr (start, ']', reader->raw_len - reader->indent);

  return bracket == NULL ? 0 : (size_t)(bracket - reader->raw);
}

static bool
only_comment_follows (const struct ini_reader *reader, size_t bracket)
{
  size_t i = bracket + 1;

  while (i < reader->raw_len && is_blank (reader->raw[i]))
    i++;
  return i == reader->raw_len || reader->raw[i] == ';'
         || reader->raw[i] == '#';
}

static void
split_header (struct ini_reader *reader, size_t from, size_t to)
{
  const char *raw = reader->raw;
  struct mq_ini_section *section = add_section (reader->ini);
  size_t type_end;
  size_t name;

  if (section == NULL)
    return;
  while (from < to && is_blank (raw[from]))
    from++;
  while (to > from && is_blank (raw[to - 1]))
    to--;
  for (type_end = from; type_end < to && !is_blank (raw[type_end]);)
    type_end++;
  for (name = type_end; name < to && is_blank (raw[name]);)
    name++;
  section->type = talloc_strndup (reader->ini, raw + from, type_end - from);
  section->name = talloc_strndup (reader->ini, raw + name, to - name);
  section->line = reader->line;
  section->name_column = (uint32_t)(name < to ? name : from) + 1;
}

static void
read_header (struct ini_reader *reader)
{
  size_t bracket = find_bracket (reader);

  reader->skipping = bracket == 0;
  if (bracket == 0)
    {
      report_syntax (reader, reader->raw_len, "missing ']'", "[TYPE NAME]");
      return;
    }
  if (!only_comment_follows (reader, bracket))
    report_syntax (reader, bracket + 1, "unexpected text after ']'",
                   "[TYPE NAME]");
  split_header (reader, reader->indent + 1, bracket);
}

/* inih callbacks.  */

/* Guards against a line that the library passes over in silence (it only
   returns the number of the first): it would look accepted and have no
   effect.  The flag falls when the library gives the line's pair.  */
static void
close_line (struct ini_reader *reader)
{
  if (reader->pair_due)
    report_syntax (reader, reader->indent, "missing '='",
                   "KEY = VALUE, [TYPE NAME] or ; comment");
  reader->pair_due = false;
}

static void
classify_line (struct ini_reader *reader)
{
  char first = reader->raw[reader->indent];

  if (first == '[')
    read_header (reader);
  else if (first != ';' && first != '#')
    reader->pair_due = true;
}

/* Strips indentation; inih treats an indented line as a continuation of the
   previous value.  */
static char *
read_next_line (char *buffer, int size, void *stream)
{
  struct ini_reader *reader = stream;
  size_t len = 0;

  close_line (reader);
  if (reader->next >= reader->end)
    return NULL;
  load_line (reader);
  if (reader->raw_len > reader->indent && !line_is_readable (reader))
    {
      if (reader->raw[reader->indent] == '[')
        reader->skipping = true;
    }
  else if (reader->raw_len > reader->indent)
    {
      len = reader->raw_len - reader->indent;
      classify_line (reader);
    }
  if (len >= (size_t)size)
    len = (size_t)size - 1;
  memcpy (buffer, reader->raw + reader->indent, len);
  buffer[len] = '\0';
  return buffer;
}

static struct mq_ini_pair *
add_pair (struct mq_ini *ini, struct mq_ini_section *section)
{
  struct mq_ini_pair *pairs = section->pairs;
  size_t count = section->pair_count;

  if (talloc_array_length (pairs) == count)
    pairs
        = talloc_realloc (ini, pairs, struct mq_ini_pair,
                          count == 0 ? FIRST_ALLOCATION : (unsigned)count * 2);
  if (pairs == NULL)
    return NULL;
  section->pairs = pairs;
  section->pair_count = count + 1;
  return &pairs[count];
}

static size_t
value_offset (const struct ini_reader *reader)
{
  size_t i = reader->indent;

  while (i < reader->raw_len && reader->raw[i] != '=' && reader->raw[i] != ':')
    i++;
  i++;
  while (i < reader->raw_len && is_blank (reader->raw[i]))
    i++;
  return i;
}

static void
keep_pair (struct ini_reader *reader, const char *key, const char *value)
{
  struct mq_ini *ini = reader->ini;
  struct mq_ini_pair *pair;

  pair = add_pair (ini, &ini->sections[ini->section_count - 1]);
  if (pair == NULL)
    return;
  pair->key = talloc_strdup (ini, key);
  pair->value = talloc_strdup (ini, value);
  pair->line = reader->line;
  pair->column = (uint32_t)reader->indent + 1;
  pair->value_column = (uint32_t)value_offset (reader) + 1;
}

static int
take_pair (void *user, const char *section, const char *key, const char *value)
{
  struct ini_reader *reader = user;

  (void)section; /* truncated by inih */
  reader->pair_due = false;
  if (key[0] == '\0')
    report_syntax (reader, reader->indent, "missing key before '='",
                   "KEY = VALUE");
  else if (reader->skipping)
    return 1;
  else if (reader->ini->section_count == 0)
    report_syntax (reader, reader->indent, "key outside a section",
                   "[TYPE NAME] before the first key");
  else
    keep_pair (reader, key, value);
  return 1;
}

struct mq_ini *
mq_ini_read (TALLOC_CTX *ctx, const char *source, size_t len,
             struct mq_error_list *errors)
{
  struct ini_reader reader = { .errors = errors };
  size_t mark = strlen (BYTE_ORDER_MARK);

  reader.ini = talloc_zero (ctx, struct mq_ini);
  if (reader.ini == NULL)
    return NULL;
  if (len > MQ_TEXT_MAX_BYTES)
    {
      struct mq_text_position start = { 1, 1 };

      mq_error_list_add (errors, MQ_ERR_TOO_LARGE, start, "configuration text",
                         "at most 1 MiB");
      talloc_free (reader.ini);
      return NULL;
    }
  if (len >= mark && memcmp (source, BYTE_ORDER_MARK, mark) == 0)
    {
      source += mark;
      len -= mark;
    }
  reader.next = source;
  reader.end = source + len;
  ini_parse_stream (read_next_line, &reader, take_pair, &reader);
  close_line (&reader);
  return reader.ini;
}

const struct mq_ini_pair *
mq_ini_find (const struct mq_ini_section *section, const char *key)
{
  for (size_t i = 0; i < section->pair_count; i++)
    if (strcmp (section->pairs[i].key, key) == 0)
      return &section->pairs[i];
  return NULL;
}
