package responsechecktest

// MalformedFields returns lines of a head that are no fields, by what is wrong with them.
func MalformedFields() map[string]string {
	return map[string]string{
		"blank in the name":                  "X Blank: z",
		"blank after the name":               "X-Blank : z",
		"blank after the name of the length": "Content-Length : 3",
		"blank after the name of the coding": "Transfer-Encoding : chunked",
		"tab in the name":                    "X\tTab: z",
		"tab after the name":                 "X-Tab\t: z",
		"control byte in the name":           "X\x01Control: z",
		"null byte in the name":              "\x00: z",
		"delete byte in the name":            "X\x7fDelete: z",
		"carriage return in the name":        "X\rReturn: z",
		"blank before the name":              " X-Continued: z",
		"tab before the name":                "\tX-Continued: z",
		"blank line that isn't empty":        " ",
		"no name":                            ": z",
		"no colon":                           "X-None",
		"letter outside ASCII in the name":   "X-\xc3\xa9: z",
		"control byte in the value":          "X-Value: \x01",
		"null byte in the value":             "X-Value: a\x00b",
		"carriage return in the value":       "X-Value: a\rb",
	}
}
