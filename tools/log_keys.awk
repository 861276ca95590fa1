# Checks the fields of log_event() calls in the given files: a field must not have
# the name of a key that every log line has, nor occur twice in one call. The format
# must be a string literal to be checked. Prints file, line and
# field of each error; exits 1 if there are any.
#
# awk -f tools/log_keys.awk FILE...

BEGIN {
	split("time level num event node program", names, " ")
	for (i in names)
		reserved[names[i]] = 1
}

# Checks one call; text starts after its "(". The format is between the first and the
# second top-level comma.
function check(text, file, line,    c, i, depth, commas, in_text, form, n, parts, key, seen) {
	for (i = 1; i <= length(text); i++) {
		c = substr(text, i, 1)
		if (in_text) {
			if (c == "\\") {
				form = form " "
				i++
			} else if (c == "\"") {
				in_text = 0
			} else if (commas == 1) {
				form = form c
			}
		} else if (c == "\"") {
			in_text = 1
		} else if (c == "(") {
			depth++
		} else if (c == ")") {
			if (--depth < 0)
				break
		} else if (c == "," && depth == 0 && ++commas > 1) {
			break
		}
	}
	if (commas == 0 || form == "")
		fault(file, line, "the format is not a string literal")
	n = split(form, parts, " ")
	for (i = 1; i <= n; i++) {
		if (!match(parts[i], /^[A-Za-z0-9_]+=/))
			continue
		key = substr(parts[i], 1, RLENGTH - 1)
		if (key in reserved)
			fault(file, line, "field '" key "' is a key of the line itself")
		if (key in seen)
			fault(file, line, "field '" key "' occurs twice")
		seen[key] = 1
	}
}

function fault(file, line, what) {
	printf "%s:%d: %s\n", file, line, what
	faults++
}

function flush() {
	# Skip the definition of log_event().
	if (call != "" && call !~ /^enum /)
		check(call, call_file, call_line)
	call = ""
}

FNR == 1 {
	flush()
}

{
	line = $0
	if (call != "")
		call = call "\n" line
	while (match(line, /(^|[^A-Za-z0-9_])log_event\(/)) {
		flush()
		line = substr(line, RSTART + RLENGTH)
		call = line
		call_file = FILENAME
		call_line = FNR
	}
	# The call ends with its statement.
	if (call != "" && line ~ /\);[ \t]*$/)
		flush()
}

END {
	flush()
	exit faults > 0
}
