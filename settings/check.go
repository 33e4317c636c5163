package settings

import (
	"crypto/ed25519"
	"encoding/base64"
	stderrors "errors"
	"fmt"
	"net/netip"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
)

var validate = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(yamlName)
	must(v.RegisterValidation("ip_port", isIPPort))
	must(v.RegisterValidation("ed25519_key", isPublicKey))
	return v
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// isIPPort accepts an IP address with a port. Host names are refused, and so are
// wildcard addresses and port 0, which peers could not connect to.
func isIPPort(field validator.FieldLevel) bool {
	address, err := netip.ParseAddrPort(field.Field().String())
	return err == nil && address.Port() != 0 && !address.Addr().IsUnspecified()
}

func isPublicKey(field validator.FieldLevel) bool {
	raw, err := base64.StdEncoding.DecodeString(field.Field().String())
	return err == nil && len(raw) == ed25519.PublicKeySize
}

// check reports missing keys, values out of range and inconsistent keys.
func (d *decoder) check(s *Settings) {
	reported := make(map[string]bool, len(d.problems))
	for _, problem := range d.problems {
		reported[problem.Key] = true
	}
	var failures validator.ValidationErrors
	if stderrors.As(validate.Struct(s), &failures) {
		for _, failure := range failures {
			d.reportFailure(failure, reported)
		}
	}
	d.checkTLS(s.TLS)
	d.checkListeners(s.Listeners)
	d.checkTimes(s)
	d.checkSizes(s.Limits)
}

// reportFailure reports a failure unless the key's value already failed to decode.
func (d *decoder) reportFailure(failure validator.FieldError, reported map[string]bool) {
	_, key, _ := strings.Cut(failure.Namespace(), ".")
	if reported[key] {
		return
	}
	message, fix := describeFailure(failure)
	d.reportAt(key, message, fix)
}

// reportAt reports a problem at the key, or at its closest parent in the file.
func (d *decoder) reportAt(key, message, fix string) {
	at := Position{Line: 1, Column: 1}
	for path := key; path != ""; path = parent(path) {
		if found, ok := d.positions[path]; ok {
			at = found
			break
		}
	}
	d.report(at, key, message, fix)
}

func parent(key string) string {
	if i := strings.LastIndexAny(key, ".["); i >= 0 {
		return key[:i]
	}
	return ""
}

func describeFailure(failure validator.FieldError) (message, fix string) {
	switch failure.Tag() {
	case "required":
		return "is missing", "add it"
	case "ip_port":
		return fmt.Sprintf("%q is not an IP address with a port", failure.Value()), `write it as "10.0.0.7:8443" or "[fd00::7]:8443", no name, no wildcard, no port 0`
	case "ed25519_key":
		return "is not an ed25519 public key", "give the 32 bytes of the key in standard base64"
	case "unique":
		return "has an entry twice", "remove the copy"
	case "oneof":
		return fmt.Sprintf("%q is not known", failure.Value()), "choose one of: " + failure.Param()
	case "min":
		return "is too " + smallWord(failure) + formatAmount(failure), "the least is " + failure.Param()
	case "max":
		return "is too " + largeWord(failure) + formatAmount(failure), "the most is " + failure.Param()
	default:
		return "is not valid", "see docs/operators/settings.md"
	}
}

func smallWord(failure validator.FieldError) string {
	if failure.Kind() == reflect.Slice {
		return "short a list"
	}
	return "small"
}

func largeWord(failure validator.FieldError) string {
	switch failure.Kind() {
	case reflect.Slice:
		return "long a list"
	case reflect.String:
		return "long"
	default:
		return "large"
	}
}

func formatAmount(failure validator.FieldError) string {
	switch failure.Kind() {
	case reflect.Slice:
		return fmt.Sprintf(" (%d entries)", reflect.ValueOf(failure.Value()).Len())
	case reflect.String:
		return fmt.Sprintf(" (%d characters)", len(failure.Value().(string)))
	default:
		return fmt.Sprintf(" (%v)", failure.Value())
	}
}
