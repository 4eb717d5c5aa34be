/* text_keys.h - key tables: types, ranges, defaults and help of INI keys.

   The tables are used for parsing, for the help of mimosactl and to check the
   documentation.  The table of the configuration text is here; that of the
   process settings is in src/daemon/settings.c.
   Needs: text_ini.h.  */

#ifndef MQ_TEXT_KEYS_H
#define MQ_TEXT_KEYS_H

#include "text_ini.h"

/* Syntax of a value: type of its field.  */
enum mq_key_type
{
  MQ_KEY_NAME,    /* letters, digits, - and _: const char * */
  MQ_KEY_STRING,  /* const char * of min to max bytes */
  MQ_KEY_LINES,   /* repeatable, joined by newlines: const char * */
  MQ_KEY_PATH,    /* begins with /: const char * */
  MQ_KEY_ADDRESS, /* IP:PORT: const char * */
  MQ_KEY_URL,     /* http://IP:PORT: const char * */
  MQ_KEY_UINT32,  /* min to max */
  MQ_KEY_UINT64,  /* min to max */
  MQ_KEY_YES_NO,  /* bool */
  MQ_KEY_CHOICE,  /* one of the choices: int-sized enum */
  MQ_KEY_HEX_32,  /* 64 hexadecimal digits: uint8_t[MQ_KEY_BYTES] */
  MQ_KEY_NAMES    /* comma-separated; parsed by the caller */
};

struct mq_key_choice
{
  const char *word; /* NULL terminates the list */
  int value;
};

#define MQ_KEY_ALL_KINDS UINT32_MAX
#define MQ_KIND_BIT(kind) (1U << (kind))

/**
 * struct mq_key - one key
 * @section: type of the section
 * @kinds: kinds of section that accept the key, a mask of MQ_KIND_BIT
 * @required: the key has no default
 * @budget: a value out of range is reported as MQ_ERR_TEXT_BUDGET
 * @min: smallest number, or minimum length in bytes
 * @max: largest number, or maximum length in bytes
 * @fallback: default in source form, NULL if none
 * @choices: for MQ_KEY_CHOICE
 * @offset: offset of the field in the structure that holds the section
 * @help: one-line description
 * @effect: consequence of a change, one line; NULL for settings
 */
struct mq_key
{
  const char *section;
  const char *name;
  uint32_t kinds;
  enum mq_key_type type;
  bool required;
  bool budget;
  uint64_t min;
  uint64_t max;
  const char *fallback;
  const struct mq_key_choice *choices;
  size_t offset;
  const char *help;
  const char *effect;
};

/**
 * struct mq_key_section - one type of section
 * @type: first word of the header
 * @shape: syntax of the header, for messages
 * @named: the header includes a name
 * @dotted: the name has the form SERVICE.NAME
 * @once: the section must occur exactly once
 * @kinds: NULL-terminated names of the kinds, in order of their bits; NULL if
 *         the section has no kinds
 */
struct mq_key_section
{
  const char *type;
  const char *shape;
  bool named;
  bool dotted;
  bool once;
  const char *const *kinds;
};

struct mq_key_table
{
  const struct mq_key *keys; /* at most 64 */
  size_t key_count;
  const struct mq_key_section *sections;
  size_t section_count;
};

/* Table of the configuration text.  */
const struct mq_key_table *mq_text_keys (void);

const struct mq_key *mq_key_find (const struct mq_key_table *table,
                                  const char *section, const char *name);
/* Description of the values allowed for KEY, allocated below CTX.  */
char *mq_key_allowed (TALLOC_CTX *ctx, const struct mq_key *key);
/* Formats the value of KEY in TARGET; allocated below CTX.  */
char *mq_key_print (TALLOC_CTX *ctx, const struct mq_key *key,
                    const void *target);

/* Checks section types and names and reports duplicate and missing sections.
   Returns the table row of each section, NULL if its header is invalid.  */
const struct mq_key_section **
mq_key_check_headers (TALLOC_CTX *ctx, const struct mq_key_table *table,
                      const struct mq_ini *ini, struct mq_error_list *errors);
/* Sets the fields of TARGET, a structure owned by CTX, from SECTION and the
   defaults, and reports errors.  KINDS is the bit of the section's kind, or
   MQ_KEY_ALL_KINDS if the kind is invalid: keys of any kind are accepted
   then, and only keys required by every kind are reported as missing.  The
   caller checks MQ_KEY_NAMES.  */
void mq_key_read_section (TALLOC_CTX *ctx, const struct mq_key_table *table,
                          const struct mq_ini_section *section, uint32_t kinds,
                          void *target, struct mq_error_list *errors);
/* Bit of the kind given by the MQ_KEY_CHOICE key NAME of SECTION.  If that key
   is missing or invalid, MQ_KEY_ALL_KINDS; mq_key_read_section reports it.  */
uint32_t mq_key_section_kinds (const struct mq_key_table *table,
                               const struct mq_ini_section *section,
                               const char *name);
/* True for 1 to 63 letters, digits, - and _, starting with a letter or
   digit.  */
bool mq_name_is_valid (const char *name, size_t len);

#define MQ_NAME_ALLOWED "letters, digits, - and _, at most 63"

#endif
