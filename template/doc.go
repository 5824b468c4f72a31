// Package template parses template and customer documents and returns the
// policy that applies to a call.
//
// A template lists the operations that one kind of customer may call and
// declares the parameters that a customer may set:
//
//	{
//	  "operations": [
//	    {"service": "racedesk", "operation": "record-arrival", "class": "essential",
//	     "idempotent": false, "timeout_ms": 2000, "extra_attempts": 3}
//	  ],
//	  "parameters": [
//	    {"name": "rate_per_second", "default": 50, "min": 1, "max": 500}
//	  ]
//	}
//
// A customer document refers to a template and sets its parameters:
//
//	{"template": "golubarnik", "parameters": {"rate_per_second": 120}}
//
// Parsing is strict. An error holds up to 100 problems of the document, so that
// all of them can be corrected at once:
//
//	t, err := template.ParseTemplate(document)
//	var invalid *template.ValidationError
//	if errors.As(err, &invalid) {
//		for _, p := range invalid.Problems {
//			fmt.Println(p.Field, p.Message, p.Remedy)
//		}
//	}
//	policy, ok := t.Policy(&customer, "racedesk", "record-arrival")
package template
